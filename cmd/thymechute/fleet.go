// The fleet of one instance, where the operator's file has one: this file owns starting the member, what of the
// view goes to the log, and keeping its record: its rank, how far the agreed log was applied. It must never decide admission, and never call the member from inside
// memberlist's callbacks (they hold its lock): claims go through one goroutine of their own.

package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/subset"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/operator"
)

const (
	mostRefusedNamed = 64 // peers refused that the log names; past them it only counts
	mostViewNamed    = 64 // members that a line of the view names; past them it counts
	// between two rounds of claiming: a burst of changes comes out as one round, and the log's "fleet view" stays
	// under the sampler's 20 alike lines a second (log.go), which would otherwise drop the last of a burst
	claimEvery = 100 * time.Millisecond
)

// fleetLog hears the view's changes; it is handed to the member and so called from memberlist's goroutines.
type fleetLog struct {
	log     *zap.Logger
	changed chan struct{} // one slot: changes coalesce into one new claim
	mu      sync.Mutex
	named   map[string]bool // peers refused and named once; at most mostRefusedNamed
	refused int
}

func (f *fleetLog) poke() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *fleetLog) Joined(r membership.Record) {
	f.log.Info("member joined", zap.String("member", r.Name), zap.String("zone", r.Zone))
	f.poke()
}

func (f *fleetLog) Updated(membership.Record) { f.poke() }

func (f *fleetLog) Left(name string) {
	f.log.Info("member left", zap.String("member", name))
	f.poke()
}

// Refused names each peer once, a bounded number of them: a peer that lies again and again costs one line.
func (f *fleetLog) Refused(name string, why error) {
	f.mu.Lock()
	f.refused++
	first := !f.named[name] && len(f.named) < mostRefusedNamed
	if first {
		f.named[name] = true
	}
	count := f.refused
	f.mu.Unlock()
	if first {
		f.log.Warn("member kept out", zap.String("member", name), zap.Int("refusals", count), zap.Error(why))
	}
}

// fleet is a running member, the goroutine that keeps its record, and its end of the agreed log; nil where the file has no
// fleet.
type fleet struct {
	member    *membership.Member
	consensus *consensusNode
	own       membership.Record // the keeping goroutine's until kept is closed
	within    time.Duration     // each step of leaving
	done      chan struct{}
	kept      chan struct{}
	once      sync.Once
}

// startFleet joins the fleet as the file says; stop is from the notice to the kill. Errors: an address can't be bound, the
// settings don't fit.
func startFleet(name string, o *operator.Fleet, stop time.Duration, log *zap.Logger) (*fleet, error) {
	if o == nil {
		return nil, nil
	}
	seeds := make([]string, len(o.Seeds))
	for i, s := range o.Seeds {
		seeds[i] = s.Address
	}
	watch := &fleetLog{log: log, changed: make(chan struct{}, 1), named: map[string]bool{}}
	f := &fleet{own: membership.Record{Zone: o.Zone, Region: o.Region, Rank: -1, Epoch: uint64(time.Now().UnixMilli())},
		within: min(stop/3, time.Second), done: make(chan struct{}), kept: make(chan struct{})}
	if o.Log != nil {
		f.consensus = newConsensusNode(o.Log, &f.own, name, log)
	}
	var err error
	f.member, err = membership.Start(membership.Config{Name: name, Bind: o.Bind, Advertise: o.Advertise, Seeds: seeds, Most: o.MaxMembers, Record: f.own,
		Probe: time.Duration(o.ProbeIntervalMS) * time.Millisecond, Sync: time.Duration(o.SyncIntervalMS) * time.Millisecond, Message: f.consensus.receive}, watch)
	if err != nil {
		return nil, err
	}
	if f.consensus != nil {
		if err := f.consensus.start(o.Log, f.member, f.own.Epoch); err != nil {
			return nil, errors.Join(err, f.member.Leave(f.within))
		}
	}
	go f.keep(name, watch, log)
	log.Info("fleet joined", zap.String("bind", o.Bind), zap.Strings("seeds", seeds), zap.String("zone", o.Zone))
	return f, nil
}

// keep settles the ranks after each change of the view and claims its own where it moved; where there is an agreed log it
// also looks after that, now and then.
func (f *fleet) keep(name string, watch *fleetLog, log *zap.Logger) {
	defer close(f.kept)
	own, told := &f.own, ""
	var tell <-chan time.Time
	if f.consensus != nil {
		t := time.NewTicker(publishInterval)
		defer t.Stop()
		tell = t.C
	}
	for {
		select {
		case <-f.done:
			return
		case <-tell:
			if f.consensus.refresh(own) {
				_ = f.member.Set(*own) // not heard: the next time tells more
			}
			continue
		case <-watch.changed:
		}
		view := f.member.View()
		claims := make([]subset.Claim, 0, len(view))
		for _, r := range view {
			claims = append(claims, subset.Claim{Name: r.Name, Rank: r.Rank, Since: r.Epoch})
		}
		rank, ok := subset.Rank(claims)[name]
		if ok && rank != own.Rank {
			own.Rank = rank
			if err := f.member.Set(*own); err != nil {
				log.Warn("rank not claimed", zap.Error(err))
			}
			if f.consensus != nil {
				f.consensus.setClaimPosition(rank)
			}
		}
		names := ""
		if len(view) <= mostViewNamed {
			list := slices.Sorted(maps.Keys(view))
			names = strings.Join(list, ",")
		}
		if now := fmt.Sprint(own.Rank, len(view), names); now != told { // what else changed in a record is not the view's
			told = now
			log.Info("fleet view", zap.Int("rank", own.Rank), zap.Int("members", len(view)), zap.String("names", names))
		}
		select {
		case <-f.done:
			return
		case <-time.After(claimEvery):
		}
	}
}

// leave tells the others, once, each step within a third of the time to the kill and a second; the instance goes on answering
// what it has read. With an agreed log it first hands on its duties and its vote. Safe on nil.
func (f *fleet) leave(log *zap.Logger) {
	if f == nil {
		return
	}
	f.once.Do(func() {
		close(f.done)
		<-f.kept
		if f.consensus != nil {
			f.own.Flag = "leaving"
			_ = f.member.Set(f.own)
			f.consensus.driver.Load().Drain(f.within)
		}
		if err := f.member.Leave(f.within); err != nil {
			log.Warn("fleet left with an error", zap.Error(err))
		}
		if f.consensus != nil {
			f.consensus.driver.Load().Stop()
		}
		log.Info("fleet left")
	})
}
