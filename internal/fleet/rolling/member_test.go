package rolling

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/decide/rollout"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil/member"
)

// Environment variables of a member, and settings of its process.
const (
	releaseFileVariable = "ROLLING_WANTED"  // file with the release that all should run
	zoneVariable        = "ROLLING_ZONE"    // the member's zone
	releaseVariable     = "ROLLING_RELEASE" // the release that the member runs

	pollInterval = 100 * time.Millisecond
	flagDraining = "leaving"
)

// Kinds of events.
const (
	eventReady         = "ready"
	eventLeaseAcquired = "lease acquired"
	eventDrains        = "drains"
	eventNotified      = "notified"
)

var limits = rollout.Limits{MinCapacityFraction: 0.3, MaxUnavailable: 2, ReplaceTimeout: 20 * time.Second,
	InitialCapacityFraction: 0.2, WarmUpTime: time.Second}

// memberEvent is an event that a member's process emits.
type memberEvent struct {
	Kind, Release, Text string
	Incarnation         uint64
	At                  int64 // Unix ms
	member              string
}

func TestMain(m *testing.M) { member.Main(m, runMember) }

// testMember runs in a member's process. It is the log's Watcher.
type testMember struct {
	*member.Member
	controller *Controller
	release    string
	startedAt  uint64                      // Unix ms; its incarnation in the rollout
	known      map[string]rollout.Instance // all instances ever seen, as an unreachable one counts as unavailable
	draining   chan struct{}               // closed by Config.Drain
	announced  chan struct{}               // closed once the membership record shows the drain
}

func runMember(process *member.Member) {
	m := &testMember{Member: process, release: os.Getenv(releaseVariable), startedAt: uint64(time.Now().UnixMilli()),
		known: map[string]rollout.Instance{}, draining: make(chan struct{}), announced: make(chan struct{})}
	m.controller = New(Config{Name: m.Name, Incarnation: m.startedAt, Limits: limits, Fleet: m.fleet, UnreachableVoters: m.unreachableVoters,
		Propose: func(body string) bool { return m.Driver().DecideNow(Duty, body) },
		Resign:  func() { m.Driver().Resign(Duty) },
		Drain:   func() { close(m.draining) },
		Notify:  func(message string) { m.emit(memberEvent{Kind: eventNotified, Text: message}) }})
	m.Join(member.Config{
		Record: membership.Record{Zone: os.Getenv(zoneVariable), Epoch: m.startedAt, Capacity: 1, Release: m.release},
		Duties: []string{Duty}, StateMachine: consensus.StateMachines{Duty: NewSnapshotState()}, Watcher: m,
		OnVoterChange: func(c quorum.Change) {
			m.emit(memberEvent{Kind: eventNotified, Text: fmt.Sprint("voters ", c.Kind, " ", c.Reason, " ", c.Process)})
		},
	})
	go m.poll()
	m.emit(memberEvent{Kind: eventReady, Release: m.release, Incarnation: m.startedAt})
	go func() { m.AwaitParentExit(); os.Exit(0) }()
	<-m.draining
	m.emit(memberEvent{Kind: eventDrains, Release: m.release, Incarnation: m.startedAt})
	<-m.announced
	m.Driver().Drain(3 * time.Second)
	_ = m.Membership.Leave(time.Second)
	m.Driver().Stop()
}

func (m *testMember) emit(e memberEvent) {
	e.At = time.Now().UnixMilli()
	m.Emit(e)
}

// LeaseAcquired implements consensus.Watcher.
func (m *testMember) LeaseAcquired(string, uint64) {
	m.controller.LeaseAcquired()
	m.emit(memberEvent{Kind: eventLeaseAcquired})
}

// LeaseLost implements consensus.Watcher.
func (m *testMember) LeaseLost(string) { m.controller.LeaseLost() }

// SnapshotRestored implements consensus.Watcher.
func (m *testMember) SnapshotRestored(snapshot []byte) {
	m.controller.Restore(m.Driver().Now(), snapshot)
}

// Tick implements consensus.Watcher.
func (m *testMember) Tick(now time.Duration) { m.controller.Tick(now) }

// EntryApplied implements consensus.Watcher.
func (m *testMember) EntryApplied(_ uint64, entry lease.Command, outcome lease.Outcome) {
	m.controller.Apply(m.Driver().Now(), entry, outcome)
}

var _ consensus.Watcher = (*testMember)(nil)

// fleet returns the fleet as this member knows it, and no load.
func (m *testMember) fleet() (fleet []rollout.Instance, load map[string]float64) {
	voters, view := m.Driver().Log.Voters(), m.Membership.View()
	for name, r := range view {
		m.known[name] = rollout.Instance{Name: name, Zone: r.Zone, Release: r.Release, Incarnation: r.Epoch, Capacity: r.Capacity,
			Age:        time.Duration(time.Now().UnixMilli()-int64(r.Epoch)) * time.Millisecond,
			IsDraining: r.Flag == flagDraining, IsVoter: slices.Contains(voters, r.Process), IsLeader: name == m.Name}
	}
	for name, i := range m.known {
		_, isReachable := view[name]
		i.IsUnreachable = !isReachable
		fleet = append(fleet, i)
	}
	slices.SortFunc(fleet, func(x, y rollout.Instance) int { return strings.Compare(x.Name, y.Name) })
	return fleet, nil
}

func (m *testMember) unreachableVoters() (unreachable []string) {
	isReachable := map[string]bool{}
	for _, r := range m.Membership.View() {
		isReachable[r.Process] = true
	}
	for _, process := range m.Driver().Log.Voters() {
		if !isReachable[process] {
			unreachable = append(unreachable, process)
		}
	}
	return unreachable
}

// poll reads the target release and publishes the applied index until the member drains, and then announces that.
func (m *testMember) poll() {
	for {
		time.Sleep(pollInterval)
		if b, err := os.ReadFile(os.Getenv(releaseFileVariable)); err == nil {
			m.controller.SetRelease(string(b))
		}
		m.PublishApplied()
		select {
		case <-m.draining:
			m.UpdateRecord(func(r *membership.Record) { r.Flag = flagDraining })
			close(m.announced)
			return
		default:
		}
	}
}
