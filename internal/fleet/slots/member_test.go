package slots

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/decide/ring"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil/member"
)

// Environment variables of a member, and settings of its process.
const (
	backendsFileVariable  = "SLOTS_WANTED"   // file with the backends that should own slots
	callPastLeaseVariable = "SLOTS_OVERSTAY" // set: the member continues calls after its lease has expired
	warmUpVariable        = "SLOTS_WARM_UP"  // set: the member calls the backend in slow start as often as the Controller allows
	stopApplyingVariable  = "SLOTS_CUT"      // file; once it exists, the member applies no more entries of the log
	withoutQuotas         = "without quotas" // value of warmUpVariable: grants exceed any demand
	keyCount              = 48
	callerCount           = 8
	pollInterval          = 20 * time.Millisecond
	pollsPerPublication   = 5
	pollsPerCount         = 50
)

// Kinds of events.
const (
	eventLeaseAcquired = "lease acquired"
	eventTableActive   = "table active"
	eventNotified      = "notified"
	eventCallCount     = "call count"
	eventVoters        = "voters"
)

var terms = ring.LeaseTerms{Duration: time.Second, MaxDrift: 0.01, CancelDelay: 20 * time.Millisecond}

// memberEvent is an event that a member's process emits.
type memberEvent struct {
	Kind    string
	Version uint64 // of the table, for eventTableActive; the number of calls or voters, for eventCallCount or eventVoters
	Text    string
	member  string
}

func isLeaseAcquired(e memberEvent) bool { return e.Kind == eventLeaseAcquired }

// isTableAt matches the activation of this table version, or a later one, at the named member.
func isTableAt(name string, version uint64) func(memberEvent) bool {
	return func(e memberEvent) bool {
		return e.Kind == eventTableActive && e.Version >= version && e.member == name
	}
}

// isDigestMismatch matches the report of a DigestMismatchError.
func isDigestMismatch(e memberEvent) bool {
	return e.Kind == eventNotified && strings.Contains(e.Text, "digest found")
}

func TestMain(m *testing.M) { member.Main(m, runMember) }

// testMember runs in a member's process. It is the log's Watcher and the Controller's Log.
type testMember struct {
	*member.Member
	controller         *Controller
	hasStoppedApplying atomic.Bool // entries are no longer passed to the controller
	calls              atomic.Int64
	rejections         atomic.Int64
}

func runMember(process *member.Member) {
	m := &testMember{Member: process}
	if os.Getenv(callPastLeaseVariable) != "" {
		terms.CancelDelay = -5 * time.Second // calls continue for five seconds after leaders consider the lease expired
	}
	config := Config{Process: m.Process, Incarnation: m.Incarnation, Slots: 64, Terms: terms, Bound: ring.BalanceBound{Slack: 0.05},
		Notify: func(message string) { m.Emit(memberEvent{Kind: eventNotified, Text: message}) }}
	if os.Getenv(warmUpVariable) != "" {
		config = warmUpConfig(config)
	}
	var err error
	m.controller, err = New(config, m)
	m.ExitOn(err)
	state, err := NewSnapshotState(config)
	m.ExitOn(err)
	m.Join(member.Config{Record: membership.Record{Zone: "z"}, Duties: []string{Duty}, StateMachine: state, Watcher: m,
		OnVoterChange: func(quorum.Change) {}})
	if os.Getenv(warmUpVariable) != "" {
		m.startWarmUpCallers()
	} else {
		for n := range callerCount {
			go m.makeKeyedCalls(rand.New(rand.NewPCG(m.Incarnation, uint64(n))))
		}
	}
	go m.poll()
	m.AwaitParentExit()
}

// LeaseAcquired implements consensus.Watcher.
func (m *testMember) LeaseAcquired(duty string, _ uint64) {
	if duty == Duty {
		m.controller.LeaseAcquired(m.Now())
		m.Emit(memberEvent{Kind: eventLeaseAcquired})
	}
}

// LeaseLost implements consensus.Watcher.
func (m *testMember) LeaseLost(string) { m.controller.LeaseLost() }

// SnapshotRestored implements consensus.Watcher.
func (m *testMember) SnapshotRestored(snapshot []byte) { m.controller.Restore(snapshot) }

// Tick implements consensus.Watcher.
func (m *testMember) Tick(now time.Duration) { m.controller.Tick(now) }

// EntryApplied implements consensus.Watcher.
func (m *testMember) EntryApplied(_ uint64, entry lease.Command, outcome lease.Outcome) {
	if !m.hasStoppedApplying.Load() {
		m.controller.Apply(m.Now(), entry, outcome)
	}
}

// DecideNow implements Log.
func (m *testMember) DecideNow(duty, body string) bool { return m.Driver().DecideNow(duty, body) }

// Announce implements Log.
func (m *testMember) Announce(duty, body string) (seq uint64) { return m.Driver().Announce(duty, body) }

// Now implements Log.
func (m *testMember) Now() time.Duration { return m.Driver().Now() }

var _ consensus.Watcher = (*testMember)(nil)

// poll reads the target backends, publishes the applied index, and emits events for the active table, the number of voters in the
// log's configuration as known here, and the number of calls.
func (m *testMember) poll() {
	version := uint64(0)
	voters := 0
	for n := 0; ; n++ {
		time.Sleep(pollInterval)
		var backends []ring.Backend
		if b, err := os.ReadFile(os.Getenv(backendsFileVariable)); err == nil && json.Unmarshal(b, &backends) == nil {
			m.controller.SetBackends(backends)
		}
		if v := m.controller.TableVersion(); v != version {
			version = v
			m.Emit(memberEvent{Kind: eventTableActive, Version: v})
		}
		if n%pollsPerPublication == 0 {
			m.PublishApplied()
			if count := len(m.Driver().Log.Voters()); count != voters {
				voters = count
				m.Emit(memberEvent{Kind: eventVoters, Version: uint64(count)})
			}
		}
		if n%pollsPerCount == pollsPerCount-1 {
			m.Emit(memberEvent{Kind: eventCallCount, Version: uint64(m.calls.Load()), Text: fmt.Sprint(m.rejections.Load(), " rejected")})
		}
	}
}

// makeKeyedCalls makes one call after another, each with a random key and duration. The backend works on a call for that
// duration even if this process ends.
func (m *testMember) makeKeyedCalls(random *rand.Rand) {
	for {
		key := fmt.Sprint("k", random.IntN(keyCount))
		call := m.controller.BeginCall(key, ring.NotIdempotent)
		if call.Decision != ring.Allow {
			m.rejections.Add(1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		duration := min(time.Duration(5+random.IntN(60))*time.Millisecond, call.Deadline-m.Now())
		if connection, err := net.DialTimeout("tcp", call.Backend.Zone, time.Second); err == nil { // in these tests the zone holds the address
			if call.Deadline-m.Now() >= duration && duration > 0 { // not if dialing took too long or this process was suspended
				fmt.Fprintf(connection, "%s %d\n", key, duration.Milliseconds())
				_, _ = io.Copy(io.Discard, connection)
				m.calls.Add(1)
			}
			connection.Close()
		}
		m.controller.EndCall(call.Slot)
	}
}
