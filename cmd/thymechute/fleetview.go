package main

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"thymechute/internal/fleet/membership"
)

const (
	maxNamedRejections = 64 // rejected peers that are logged by name; the others are only counted
	maxNamedMembers    = 64 // members that a "fleet view" line names; a larger view is only counted
)

// fleetView is the member's Watcher: it logs changes of the view and signals them on changed. Its methods are called on
// memberlist's goroutines, with memberlist's lock locked, so they must not call the member.
type fleetView struct {
	log     *zap.Logger
	changed chan struct{} // holds one signal: changes coalesce

	mu         sync.Mutex
	rejections int
	named      map[string]bool // rejected peers that were logged; at most maxNamedRejections
}

func newFleetView(log *zap.Logger) *fleetView {
	return &fleetView{log: log, changed: make(chan struct{}, 1), named: map[string]bool{}}
}

// Joined implements membership.Watcher.
func (v *fleetView) Joined(record membership.Record) {
	v.log.Info("member joined", zap.String("member", record.Name), zap.String("zone", record.Zone))
	v.signalChange()
}

// Updated implements membership.Watcher.
func (v *fleetView) Updated(membership.Record) { v.signalChange() }

// Left implements membership.Watcher.
func (v *fleetView) Left(name string) {
	v.log.Info("member left", zap.String("member", name))
	v.signalChange()
}

// Rejected implements membership.Watcher. It logs each peer once, so that a peer that retries does not fill the log.
func (v *fleetView) Rejected(name string, reason error) {
	rejections, first := v.countRejection(name)
	if first {
		v.log.Warn("member rejected", zap.String("member", name), zap.Int("rejections", rejections), zap.Error(reason))
	}
}

// countRejection returns the number of rejections so far, and whether this one is to be logged.
func (v *fleetView) countRejection(name string) (rejections int, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejections++
	first = !v.named[name] && len(v.named) < maxNamedRejections
	if first {
		v.named[name] = true
	}
	return v.rejections, first
}

func (v *fleetView) signalChange() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// viewSummary is the content of a "fleet view" log line.
type viewSummary struct {
	rank    int
	members int
	names   string // sorted, separated by commas; empty for more than maxNamedMembers
}

// summarize returns the summary of a view in which this member has the rank.
func summarize(rank int, members map[string]membership.Record) viewSummary {
	summary := viewSummary{rank: rank, members: len(members)}
	if len(members) <= maxNamedMembers {
		summary.names = strings.Join(slices.Sorted(maps.Keys(members)), ",")
	}
	return summary
}
