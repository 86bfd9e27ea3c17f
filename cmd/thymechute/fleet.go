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
	// minClaimInterval is the time between two evaluations of the view. A burst of changes leads to one claim, and the
	// "fleet view" lines remain below maxAlikeLines per second, above which the log would drop the last ones of a burst.
	minClaimInterval = 100 * time.Millisecond

	noRank               = -1          // of a member that has not claimed its rank
	maxLeaveStep         = time.Second // for each step of leaving
	leaveStepsBeforeStop = 3           // steps of leaving that must fit between the drain notice and the kill
)

// fleet is this process's membership in a fleet: the member, its record, and its replica of the fleet's log. It is nil in an
// instance without a fleet.
type fleet struct {
	name      string
	member    *membership.Member
	consensus *consensusNode // nil without a replicated log
	view      *fleetView
	log       *zap.Logger

	record     membership.Record // owned by maintainRecord until maintained is closed
	loggedView viewSummary       // logged last; owned by maintainRecord
	stop       chan struct{}     // ends maintainRecord
	maintained chan struct{}     // closed when maintainRecord has ended

	leaveTimeout time.Duration // of each step of leaving
	leaveOnce    sync.Once
}

// startFleet joins the fleet of the operator's file; it returns nil if the file has none. stopTimeout is the time from the drain
// notice to the kill. Errors: an address can't be bound, or the settings are invalid.
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
		leaveTimeout: min(stopTimeout/leaveStepsBeforeStop, maxLeaveStep),
		stop:         make(chan struct{}),
		maintained:   make(chan struct{}),
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

// memberConfig returns the configuration of the member from the operator's file.
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

// maintainRecord runs on a goroutine of its own until the fleet is left. It claims the member's rank after changes of the view,
// and publishes how far the replicated log has been applied. The watcher can't do this, as memberlist calls it with its lock
// locked.
func (f *fleet) maintainRecord() {
	defer close(f.maintained)
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
				_ = f.member.SetRecord(f.record) // if it fails, the next one publishes more
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

// evaluateView claims the rank that the present view gives this member, and logs the view if it changed.
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

// assignedRank returns the rank of a member in a view.
func assignedRank(name string, members map[string]membership.Record) (rank int, ok bool) {
	claims := make([]subset.Claim, 0, len(members))
	for _, record := range members {
		claims = append(claims, subset.Claim{Name: record.Name, Rank: record.Rank, JoinEpoch: record.Epoch})
	}
	rank, ok = subset.AssignRanks(claims)[name]
	return rank, ok
}

// claimRank publishes a new rank, which also determines the member's position among the claimants of the leases.
func (f *fleet) claimRank(rank int) {
	f.record.Rank = rank
	if err := f.member.SetRecord(f.record); err != nil {
		f.log.Warn("rank not claimed", zap.Error(err))
	}
	if f.consensus != nil {
		f.consensus.setClaimPosition(rank)
	}
}

// leave leaves the fleet; the instance still answers the requests that it has read. With a replicated log it first transfers the
// member's leases and its vote. Each step takes at most leaveTimeout. Later calls wait for the first one. It may be called on
// nil, and from any goroutine.
func (f *fleet) leave(log *zap.Logger) {
	if f == nil {
		return
	}
	f.leaveOnce.Do(func() {
		close(f.stop)
		<-f.maintained
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
