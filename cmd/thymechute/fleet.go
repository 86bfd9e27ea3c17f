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
	// minClaimInterval is between two evaluations of the view. A burst of changes makes one claim, and the "fleet view"
	// lines stay below the log sampler's limit of alike lines per second, which would drop the last of a burst.
	minClaimInterval = 100 * time.Millisecond

	noRank               = -1          // of a member that has not claimed its rank
	maxLeaveStep         = time.Second // for each step of leaving
	leaveStepsBeforeStop = 3           // steps of leaving that must fit between the notice and the kill
)

// fleet is this process's membership in a fleet: the member, its record, and its end of the replicated log. A nil fleet
// belongs to an instance without one.
type fleet struct {
	name      string
	member    *membership.Member
	consensus *consensusNode // nil without a replicated log
	view      *fleetView
	log       *zap.Logger

	record     membership.Record // owned by maintainRecord until maintained is closed
	loggedView viewSummary       // the last one; owned by maintainRecord
	stop       chan struct{}     // ends maintainRecord
	maintained chan struct{}     // closed when maintainRecord has ended

	leaveTimeout time.Duration // of each step of leaving
	leaveOnce    sync.Once
}

// startFleet joins the fleet of the operator's file; it returns nil if the file has none. stop is the time from the notice
// to the kill. Errors: an address can't be bound, or the settings are invalid.
func startFleet(name string, settings *operator.Fleet, stop time.Duration, log *zap.Logger) (*fleet, error) {
	if settings == nil {
		return nil, nil
	}
	f := &fleet{
		name: name,
		view: newFleetView(log),
		log:  log,
		record: membership.Record{Zone: settings.Zone, Region: settings.Region, Rank: noRank,
			Epoch: uint64(time.Now().UnixMilli())},
		leaveTimeout: min(stop/leaveStepsBeforeStop, maxLeaveStep),
		stop:         make(chan struct{}),
		maintained:   make(chan struct{}),
	}
	if settings.Log != nil {
		f.consensus = newConsensusNode(settings.Log, &f.record, name, log)
	}
	config := f.memberConfig(settings)
	var err error
	if f.member, err = membership.Start(config, f.view); err != nil {
		return nil, err
	}
	if f.consensus != nil {
		if err := f.consensus.start(settings.Log, f.member, f.record.Epoch); err != nil {
			return nil, errors.Join(err, f.member.Leave(f.leaveTimeout))
		}
	}
	go f.maintainRecord()
	log.Info("fleet joined", zap.String("bind", settings.Bind), zap.Strings("seeds", config.Seeds), zap.String("zone", settings.Zone))
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

// maintainRecord runs until the fleet is left. It claims the member's rank after changes of the view, and publishes how
// far the replicated log has been applied. Claims are made here and not in the watcher, as memberlist holds its lock
// while it calls that.
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
	f.log.Info("fleet view", zap.Int("rank", summary.rank), zap.Int("members", summary.members), zap.String("names", summary.names))
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

// claimRank publishes a new rank, on which the member's turn to acquire a duty of the replicated log depends.
func (f *fleet) claimRank(rank int) {
	f.record.Rank = rank
	if err := f.member.SetRecord(f.record); err != nil {
		f.log.Warn("rank not claimed", zap.Error(err))
	}
	if f.consensus != nil {
		f.consensus.setClaimPosition(rank)
	}
}

// leave announces the departure to the others and returns when that is done; the instance goes on answering what it has
// read. With a replicated log it first hands over the member's duties and its vote. Each step takes at most
// leaveTimeout. Calls after the first wait for that one. Safe on nil.
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
