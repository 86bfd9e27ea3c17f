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
	maxLoggedRejections = 64 // rejected peers that are logged; further ones are only counted
	maxNamedMembers     = 64 // a "fleet view" line has the names of up to this many members; of a larger view only their number
)

// fleetView is the member's Watcher: it logs changes of the view and signals them on changed. memberlist calls its methods on
// goroutines of its own while it holds its lock, so they must not call the member.
type fleetView struct {
	log     *zap.Logger
	changed chan struct{} // holds one signal, so that several changes lead to one evaluation

	mu          sync.Mutex
	rejections  int
	loggedPeers map[string]bool // rejected peers that were logged; at most maxLoggedRejections
}

func newFleetView(log *zap.Logger) *fleetView {
	return &fleetView{log: log, changed: make(chan struct{}, 1), loggedPeers: map[string]bool{}}
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
	rejections, shouldLog := v.countRejection(name)
	if shouldLog {
		v.log.Warn("member rejected", zap.String("member", name), zap.Int("rejections", rejections), zap.Error(reason))
	}
}

// countRejection counts a rejection, and returns the number so far and whether to log this one.
func (v *fleetView) countRejection(name string) (rejections int, shouldLog bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejections++
	shouldLog = !v.loggedPeers[name] && len(v.loggedPeers) < maxLoggedRejections
	if shouldLog {
		v.loggedPeers[name] = true
	}
	return v.rejections, shouldLog
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
	names   string // sorted, separated by commas; empty if there are more than maxNamedMembers
}

// summarize returns the summary of a view; rank is the rank of this member.
func summarize(rank int, members map[string]membership.Record) viewSummary {
	summary := viewSummary{rank: rank, members: len(members)}
	if len(members) <= maxNamedMembers {
		summary.names = strings.Join(slices.Sorted(maps.Keys(members)), ",")
	}
	return summary
}
