package main

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/subset"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/operator"
)

const (
	// minClaimInterval is the minimum time between two evaluations of the view. A burst of changes thus leads to few claims, and
	// there are fewer than maxLinesPerMessage "fleet view" lines per second: above that the log drops the last ones of a burst.
	minClaimInterval = 100 * time.Millisecond

	noRank               = -1          // rank of a member that has not claimed one
	maxLeaveTimeout      = time.Second // of each step of leaving the fleet
	leaveStepsBeforeKill = 3           // steps of leaving that must fit in the time between SIGTERM and SIGKILL
)

// fleet is this process's membership in a fleet: the member, its record, and its replica of the replicated log. It is nil in an
// instance that belongs to no fleet.
type fleet struct {
	name      string
	member    *membership.Member
	consensus *consensusNode // nil without a replicated log
	view      *fleetView
	log       *zap.Logger

	record       membership.Record // owned by maintainRecord until maintainDone is closed
	loggedView   viewSummary       // as last logged; owned by maintainRecord
	stop         chan struct{}     // ends maintainRecord
	maintainDone chan struct{}     // closed when maintainRecord has ended

	leaveTimeout time.Duration // of each step of leaving
	leaveOnce    sync.Once
}

// startFleet joins the fleet that the settings describe; it returns nil if settings is nil. stopTimeout is the time from SIGTERM
// to SIGKILL. It fails if an address cannot be bound or the settings are invalid.
func startFleet(name string, settings *operator.Fleet, stopTimeout time.Duration, log *zap.Logger) (*fleet, error) {
	if settings == nil {
		return nil, nil
	}
	f := &fleet{
		name: name,
		view: newFleetView(log),
		log:  log,
		record: membership.Record{
			Zone:   settings.Zone,
			Region: settings.Region,
			Rank:   noRank,
			Epoch:  uint64(time.Now().UnixMilli()),
		},
		leaveTimeout: min(stopTimeout/leaveStepsBeforeKill, maxLeaveTimeout),
		stop:         make(chan struct{}),
		maintainDone: make(chan struct{}),
	}
	if settings.Log != nil {
		f.consensus = newConsensusNode(settings.Log, &f.record, name, log)
	}
	config := f.memberConfig(settings)
	var err error
	f.member, err = membership.Start(config, f.view)
	if err != nil {
		return nil, err
	}
	if f.consensus != nil {
		if err := f.consensus.start(settings.Log, f.member, f.record.Epoch); err != nil {
			return nil, errors.Join(err, f.member.Leave(f.leaveTimeout))
		}
	}
	go f.maintainRecord()
	log.Info("fleet joined",
		zap.String("bind", settings.Bind),
		zap.Strings("seeds", config.Seeds),
		zap.String("zone", settings.Zone))
	return f, nil
}

// memberConfig returns the configuration of the member according to the operator's settings.
func (f *fleet) memberConfig(settings *operator.Fleet) membership.Config {
	seeds := make([]string, len(settings.Seeds))
	for n, seed := range settings.Seeds {
		seeds[n] = seed.Address
	}
	return membership.Config{
		Name:          f.name,
		Bind:          settings.Bind,
		Advertise:     settings.Advertise,
		Seeds:         seeds,
		MaxMembers:    settings.MaxMembers,
		Record:        f.record,
		ProbeInterval: time.Duration(settings.ProbeIntervalMS) * time.Millisecond,
		SyncInterval:  time.Duration(settings.SyncIntervalMS) * time.Millisecond,
		OnMessage:     f.consensus.receive,
	}
}

// maintainRecord runs on a goroutine of its own until the member leaves the fleet. After changes of the view it claims the
// member's rank, and it publishes how far the replicated log has been applied. The watcher can't do this, as memberlist holds
// its lock while it calls the watcher.
func (f *fleet) maintainRecord() {
	defer close(f.maintainDone)
	var publish <-chan time.Time // nil, so never ready, without a replicated log
	if f.consensus != nil {
		ticker := time.NewTicker(publishInterval)
		defer ticker.Stop()
		publish = ticker.C
	}
	for {
		select {
		case <-f.stop:
			return
		case <-publish:
			if f.consensus.refresh(&f.record) {
				_ = f.member.SetRecord(f.record) // on failure the next update publishes a later index
			}
			continue
		case <-f.view.changed:
		}
		f.evaluateView()
		select {
		case <-f.stop:
			return
		case <-time.After(minClaimInterval):
		}
	}
}

// evaluateView claims the rank that the current view assigns to this member, and logs the view if it changed.
func (f *fleet) evaluateView() {
	members := f.member.View()
	if rank, ok := assignedRank(f.name, members); ok && rank != f.record.Rank {
		f.claimRank(rank)
	}
	summary := summarize(f.record.Rank, members)
	if summary == f.loggedView {
		return
	}
	f.loggedView = summary
	f.log.Info("fleet view",
		zap.Int("rank", summary.rank),
		zap.Int("members", summary.members),
		zap.String("names", summary.names))
}

// assignedRank returns the rank that a view assigns to a member; ok is false if the member is not in the view.
func assignedRank(name string, members map[string]membership.Record) (rank int, ok bool) {
	claims := make([]subset.Claim, 0, len(members))
	for _, record := range members {
		claims = append(claims, subset.Claim{Name: record.Name, Rank: record.Rank, JoinEpoch: record.Epoch})
	}
	rank, ok = subset.AssignRanks(claims)[name]
	return rank, ok
}

// claimRank publishes a new rank, which also determines the member's claim positions for the leases.
func (f *fleet) claimRank(rank int) {
	f.record.Rank = rank
	if err := f.member.SetRecord(f.record); err != nil {
		f.log.Warn("publishing the claimed rank failed", zap.Error(err))
	}
	if f.consensus != nil {
		f.consensus.setClaimPosition(rank)
	}
}

// leave leaves the fleet; the instance still answers the requests that it has read. With a replicated log it first releases
// the member's leases and hands over its vote. Each step takes at most leaveTimeout. It may be called on nil, from any goroutine,
// and more than once: later calls wait for the first one.
func (f *fleet) leave(log *zap.Logger) {
	if f == nil {
		return
	}
	f.leaveOnce.Do(func() {
		close(f.stop)
		<-f.maintainDone
		if f.consensus != nil {
			f.record.Flag = membership.FlagLeaving
			_ = f.member.SetRecord(f.record)
			f.consensus.driver.Load().Drain(f.leaveTimeout)
		}
		if err := f.member.Leave(f.leaveTimeout); err != nil {
			log.Warn("fleet left with an error", zap.Error(err))
		}
		if f.consensus != nil {
			f.consensus.driver.Load().Stop()
		}
		log.Info("fleet left")
	})
}
