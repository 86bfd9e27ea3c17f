package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"thymechute/internal/decide/configuration"
)

// newTestMember returns a member with a state, whose sources are a relay, its backup and two control nodes.
func newTestMember(s *configuration.State) (*configuration.Member, *recordingHost) {
	host := &recordingHost{}
	m := configuration.NewMember(0, host, s, 0, 1)
	m.SetSources(0, configuration.Sources{Primary: []string{"relay", "backup"}, Fallback: []string{"c1", "c2"}})
	return m, host
}

// nextDelta returns the delta from a state to the next version, which adds or replaces tenants, and the resulting state.
func nextDelta(t testing.TB, s *configuration.State, namesAndBodies ...string) (configuration.Delta, *configuration.State) {
	t.Helper()
	v := version(s.Version().Token, s.Version().Counter+1)
	changes := putChanges(t, v, namesAndBodies...)
	next, err := s.With(v, changes)
	if err != nil {
		t.Fatal(err)
	}
	return configuration.Delta{Position: configuration.Position{Version: v, Root: next.Root()}, From: s.Version(), Changes: changes}, next
}

func TestMemberAppliesDeltasAtomically(t *testing.T) {
	first := tenantState(t, 10)
	good, next := nextDelta(t, first, "a", "1", "b", "2")
	wrongRoot, lacksOne, other := good, good, good
	wrongRoot.Root++
	lacksOne.Changes = good.Changes[:1]
	other.Changes = putChanges(t, good.Version, "a", "1", "b", "3")
	for name, bad := range map[string]configuration.Delta{"wrong digest": wrongRoot, "missing change": lacksOne, "other body": other} {
		t.Run(name, func(t *testing.T) {
			m, host := newTestMember(first)
			wantRejection(t, m.Receive(time.Second, "relay", bad), configuration.ReasonDigestMismatch)
			if m.State() != first || len(host.activated) > 0 {
				t.Error("an invalid delta was activated")
			}
			if m.Source() != "backup" {
				t.Errorf("polls %q after an invalid delta, expected the backup", m.Source())
			}
			wantRejection(t, m.Receive(time.Second, "relay", good), configuration.ReasonUnknownSender)
			if err := m.Receive(time.Second, "backup", good); err != nil || m.State().Root() != next.Root() {
				t.Errorf("valid delta from the backup: error %v, or it was not activated", err)
			}
		})
	}
}

func TestMemberIgnoresOldDuplicateAndFutureDeltas(t *testing.T) {
	s0 := tenantState(t, 10)
	d1, s1 := nextDelta(t, s0, "a", "1")
	d2, s2 := nextDelta(t, s1, "a", "2")
	m, host := newTestMember(s0)
	for n, d := range []configuration.Delta{d2, d1, d1, d2, d1, d2} {
		if err := m.Receive(time.Second, "relay", d); err != nil {
			t.Errorf("delta %d: %v", n, err)
		}
	}
	if m.State().Root() != s2.Root() || len(host.activated) != 2 {
		t.Errorf("version %v is active after activations %v, expected two activations", m.State().Version(), host.activated)
	}
	wantRejection(t, m.Receive(time.Second, "nobody", d2), configuration.ReasonUnknownSender)
	older := s0.Version() // only the version is invalid: it is older than the active one
	back := configuration.Delta{Position: configuration.Position{Version: older, Root: s0.Root()}, From: s2.Version(),
		Changes: []configuration.Change{{Resource: resource(t, "a", "", older), Removed: true}}}
	if err := m.Receive(time.Second, "relay", back); err != nil || m.State().Root() != s2.Root() {
		t.Errorf("delta to an older version: error %v, active version %v", err, m.State().Version())
	}
}

func TestMemberFailsOverFromASilentSourceAndBack(t *testing.T) {
	m, host := newTestMember(tenantState(t, 1))
	reply := configuration.PollReply{Position: configuration.Position{Version: m.State().Version(), Root: m.State().Root()}}
	answer := func(now time.Duration, from string) { _ = m.Receive(now, from, reply) }
	now := time.Duration(0)
	tickFor := func(span time.Duration, alive ...string) (firstPolled map[string]time.Duration) {
		firstPolled = map[string]time.Duration{}
		for end := now + span; now < end; now += 100 * time.Millisecond {
			host.sent = nil
			m.Tick(now)
			for _, s := range host.sent {
				for _, a := range alive {
					if a == s.to {
						answer(now, a)
					}
				}
			}
			if _, seen := firstPolled[m.Source()]; !seen {
				firstPolled[m.Source()] = now
			}
		}
		return firstPolled
	}
	tickFor(20*time.Second, "relay")
	failedAt := now
	at := tickFor(5*time.Second, "backup", "c1")["backup"]
	if at == 0 || at-failedAt > 4500*time.Millisecond {
		t.Errorf("switched to the backup %v after the relay failed, expected at most 4.5 s", at-failedAt)
	}
	failedAt = now
	at = tickFor(7*time.Second, "c1")["c1"]
	if at == 0 || at-failedAt > 6500*time.Millisecond {
		t.Errorf("switched to a control node %v after the backup failed, expected at most 6.5 s", at-failedAt)
	}
	tickFor(20*time.Second, "relay", "backup", "c1")
	if m.Source() != "relay" {
		t.Errorf("polls %q although the relay replies again", m.Source())
	}
	tickFor(30 * time.Second)
	if age := m.Age(now); age < 30*time.Second || age > 33*time.Second {
		t.Errorf("age %v after 30 s without a reachable source, expected 30 to 33 s", age)
	}
}

// transfer encodes and decodes each message that a host has sent, passes it to receive, and clears the host's list. It returns
// the number of bytes transferred.
func transfer(t testing.TB, from *recordingHost, receive func(configuration.Message) error) (bytes int) {
	t.Helper()
	sent := from.sent
	from.sent = nil
	for _, s := range sent {
		encoded := configuration.AppendMessage(nil, s.message)
		bytes += len(encoded)
		decoded, err := configuration.DecodeMessage(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if err := receive(decoded); err != nil {
			t.Fatal(err)
		}
	}
	return bytes
}

// connectedPair is a member with the name m, and the control node c1, its only source.
type connectedPair struct {
	member      *configuration.Member
	memberHost  *recordingHost
	control     *configuration.ControlNode
	controlHost *recordingHost
}

func newConnectedPair(memberState, controlState *configuration.State) *connectedPair {
	p := &connectedPair{memberHost: &recordingHost{}, controlHost: &recordingHost{}}
	p.member = configuration.NewMember(0, p.memberHost, memberState, 0, 1)
	p.control = configuration.NewControlNode(0, p.controlHost, configuration.NewStore(controlState, 1)) // with an empty history
	p.member.SetSources(0, configuration.Sources{Primary: []string{"c1"}})
	return p
}

// exchange delivers messages until neither side sends more, and returns the bytes in both directions.
func (p *connectedPair) exchange(t testing.TB, now time.Duration) (bytes int) {
	t.Helper()
	for range 1000 {
		if len(p.memberHost.sent)+len(p.controlHost.sent) == 0 {
			return bytes
		}
		toMember := &recordingHost{sent: p.controlHost.sent} // only what was sent before this round
		p.controlHost.sent = nil
		bytes += transfer(t, p.memberHost, func(m configuration.Message) error { return p.control.Receive(now, "m", m) })
		bytes += transfer(t, toMember, func(m configuration.Message) error { return p.member.Receive(now, "c1", m) })
	}
	t.Fatal("the member and the control node still exchange messages after 1000 rounds")
	return 0
}

func TestRepairTransfersOnlyDifferences(t *testing.T) {
	initial := tenantState(t, 69800)
	target := initial
	for n := range 3 {
		_, target = nextDelta(t, target, fmt.Sprintf("tenant-%05d", n*7000), "changed")
	}
	for name, c := range map[string]struct {
		start *configuration.State
		limit int // bytes in both directions
	}{
		"three of 69,800 differ": {initial, 2500},
		"from nothing":           {configuration.Empty(), 3_700_000},
	} {
		t.Run(name, func(t *testing.T) {
			p := newConnectedPair(c.start, target)
			bytes := 0
			now := time.Duration(0)
			for ; now < 60*time.Second && p.member.State().Root() != target.Root(); now += configuration.TickInterval {
				p.member.Tick(now)
				p.control.Tick(now)
				bytes += p.exchange(t, now)
			}
			if p.member.State().Root() != target.Root() || bytes > c.limit || len(p.memberHost.activated) != 1 {
				t.Errorf("version %v after %v and %d bytes, activated %v", p.member.State().Version(), now, bytes, p.memberHost.activated)
			}
			t.Logf("%d bytes, %v", bytes, now)
		})
	}
}

func TestMemberAbandonsARepairThatNeverMatches(t *testing.T) {
	target := tenantState(t, 100)
	m, host := newTestMember(configuration.Empty())
	position := configuration.Position{Version: target.Version(), Root: target.Root() + 1} // the root digest of no state
	var err error
	for now := time.Duration(0); now < 30*time.Second && err == nil; now += configuration.TickInterval {
		m.Tick(now)
		for len(host.sent) > 0 && err == nil && m.Source() == "relay" {
			s := host.sent[0]
			host.sent = host.sent[1:]
			switch request := s.message.(type) {
			case configuration.Poll:
				err = m.Receive(now, s.to, configuration.PollReply{Position: position, NeedsRepair: true})
			case configuration.DigestRequest:
				err = m.Receive(now, s.to, configuration.DigestReplyOf(target, request, position))
			case configuration.RepairRequest:
				err = m.Receive(now, s.to, configuration.RepairReplyOf(target, request, position))
			}
		}
	}
	wantRejection(t, err, configuration.ReasonDigestMismatch)
	if len(host.activated) > 0 || m.Source() == "relay" {
		t.Errorf("activated %v, polls %q, expected no activation and another source", host.activated, m.Source())
	}
}

func TestRelayRefersLargeRepairsAndLimitsChildren(t *testing.T) {
	m, host := newTestMember(tenantState(t, 100))
	empty := configuration.Poll{}
	_ = m.Receive(time.Second, "child", empty)
	if reply, ok := host.lastTo(t, "child").(configuration.PollReply); !ok || !reply.NeedsRepair {
		t.Errorf("replied %#v to a poll, expected a PollReply with NeedsRepair", host.lastTo(t, "child"))
	}
	_ = m.Receive(time.Second, "child", configuration.DigestRequest{Groups: [64]uint32{1, 2, 3, 4, 5, 6, 7, 8, 9}})
	if _, ok := host.lastTo(t, "child").(configuration.Referral); !ok {
		t.Errorf("replied %#v to a digest request, expected a Referral", host.lastTo(t, "child"))
	}
	for n := range 2 * configuration.MaxChildren {
		_ = m.Receive(time.Second, fmt.Sprint("c", n), empty)
	}
	if m.ChildCount() != configuration.MaxChildren {
		t.Errorf("%d children, expected MaxChildren", m.ChildCount())
	}
	if _, ok := host.lastTo(t, fmt.Sprint("c", 2*configuration.MaxChildren-1)).(configuration.Referral); !ok {
		t.Error("a poll from a member over the limit of children was not answered with a Referral")
	}
	m.Tick(12 * time.Second)
	if m.ChildCount() != 0 {
		t.Errorf("%d silent children are kept, expected none", m.ChildCount())
	}
}

func TestReferredMemberPollsAControlNode(t *testing.T) {
	m, _ := newTestMember(configuration.Empty())
	_ = m.Receive(time.Second, "relay", configuration.Referral{})
	if m.Source() != "c1" {
		t.Errorf("polls %q after a referral by its relay, expected c1", m.Source())
	}
	_ = m.Receive(time.Second, "c1", configuration.Referral{})
	if m.Source() != "c2" {
		t.Errorf("polls %q after a referral by c1, expected c2", m.Source())
	}
}

func TestPushesStayWithinTheBudget(t *testing.T) {
	s := tenantState(t, 10)
	m, host := newTestMember(s)
	for n := range 5 {
		_ = m.Receive(time.Second, fmt.Sprint("child", n), configuration.Poll{Version: s.Version(), Root: s.Root()})
	}
	const step, window = time.Second / 2, 120
	var sent [600]int
	for n := range sent {
		var d configuration.Delta
		body := fmt.Sprintf("%04000d", n)
		d, s = nextDelta(t, s, "a", body)
		now := time.Second + time.Duration(n)*step
		host.sent = nil
		if err := m.Receive(now, "relay", d); err != nil {
			t.Fatal(err)
		}
		for _, out := range host.sent {
			sent[n] += len(configuration.AppendMessage(nil, out.message))
		}
		for k := range 5 { // the children stay connected and have received everything
			_ = m.Receive(now, fmt.Sprint("child", k), configuration.Poll{Version: s.Version(), Root: s.Root()})
		}
	}
	most := 0
	for n := range len(sent) - window {
		sum := 0
		for _, bytes := range sent[n : n+window] {
			sum += bytes
		}
		most = max(most, sum)
	}
	// The budget includes the overhead of streams, which the measured bytes do not.
	if most > configuration.RelayBudgetBytes || most < configuration.RelayBudgetBytes*3/4 || m.Counters.Throttled == 0 {
		t.Errorf("%d bytes in a minute with %d messages throttled, expected at most %d bytes and some messages throttled",
			most, m.Counters.Throttled, configuration.RelayBudgetBytes)
	}
}

func TestRelayRefersAChildThatLacksTooMuchImmediately(t *testing.T) {
	s := tenantState(t, 10)
	m, host := newTestMember(s)
	_ = m.Receive(time.Second, "child", configuration.Poll{Version: s.Version(), Root: s.Root()})
	var tenants []string
	for n := range configuration.MaxChangeBytes/4000 + 1 {
		tenants = append(tenants, fmt.Sprint("t", n), fmt.Sprintf("%04000d", n))
	}
	d, _ := nextDelta(t, s, tenants...) // as large as the merged changes of many versions after a partition
	if err := m.Receive(time.Second, "relay", d); err != nil {
		t.Fatal(err)
	}
	if _, ok := host.lastTo(t, "child").(configuration.Referral); !ok {
		t.Errorf("sent %#v, expected a Referral", host.lastTo(t, "child"))
	}
}

// A server answers digest requests only from its children, and a member becomes a child with its first poll. So after a switch to
// another source, a member must wait for the reply to its poll before it resumes a repair.
func TestRepairResumesAtAnotherSourceAfterItsPollReply(t *testing.T) {
	m, host := newTestMember(configuration.Empty())
	reply := configuration.PollReply{Position: configuration.Position{Version: version(1, 1), Root: 1}, NeedsRepair: true}
	_ = m.Receive(time.Second, "relay", reply)
	if _, ok := host.lastTo(t, "relay").(configuration.DigestRequest); !ok {
		t.Fatalf("sent %#v to the relay, expected a DigestRequest", host.lastTo(t, "relay"))
	}
	_ = m.Receive(time.Second, "relay", configuration.Referral{})
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		m.Tick(now)
	}
	for _, s := range host.sent {
		if _, isDigestRequest := s.message.(configuration.DigestRequest); isDigestRequest && s.to == "c1" {
			t.Error("sent a digest request to c1 before c1 replied to a poll")
		}
	}
	_ = m.Receive(2*time.Second, "c1", reply)
	if _, ok := host.lastTo(t, "c1").(configuration.DigestRequest); !ok {
		t.Errorf("sent %#v to c1, expected a DigestRequest", host.lastTo(t, "c1"))
	}
}

func TestMemberLeavesAControlNodeCutOffFromTheLog(t *testing.T) {
	s := tenantState(t, 1)
	m := configuration.NewMember(0, &recordingHost{}, s, 0, 1)
	m.SetSources(0, configuration.Sources{Primary: []string{"c0", "c1", "c2"}}) // as the first member of a zone
	answer := func(now, age time.Duration) {
		_ = m.Receive(now, m.Source(), configuration.PollReply{Position: configuration.Position{Version: s.Version(), Root: s.Root(), Age: age}})
	}
	answer(time.Second, time.Second)
	if m.Source() != "c0" {
		t.Fatalf("polls %q although the state of c0 is recent, expected c0", m.Source())
	}
	answer(2*time.Second, 5*time.Second)
	if m.Source() != "c1" {
		t.Fatalf("polls %q after c0 reported a stale state, expected c1", m.Source())
	}
	answer(3*time.Second, time.Second)
	for now := 4 * time.Second; now < 60*time.Second; now += time.Second {
		m.Tick(now)
		answer(now, time.Second)
		m.SetSources(now, configuration.Sources{Primary: []string{"c0", "c1", "c2"}}) // the distribution tree is recomputed
		if m.Source() != "c1" {
			t.Fatalf("switched from c1 to %q at %v", m.Source(), now)
		}
	}
	answer(61*time.Second, 5*time.Second)
	answer(61*time.Second, 5*time.Second)
	answer(61*time.Second, 5*time.Second)
	last := m.Source()
	for now := 62 * time.Second; now < 66*time.Second; now += 100 * time.Millisecond {
		answer(now, 5*time.Second) // all control nodes are stale: switching does not help
		if m.Source() != last {
			t.Fatalf("switched to %q although all control nodes are stale", m.Source())
		}
	}
}

// BenchmarkDelta measures the activation of a delta with one change, in a state of 69,800 resources.
func BenchmarkDelta(b *testing.B) {
	const changes = 2000
	first := tenantState(b, 69800)
	last := first
	deltas := make([]configuration.Delta, changes)
	for n := range deltas {
		deltas[n], last = nextDelta(b, last, fmt.Sprintf("tenant-%05d", n*31%60000), "changed")
	}
	var m *configuration.Member
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n%changes == 0 {
			m, _ = newTestMember(first)
		}
		if err := m.Receive(0, "relay", deltas[n%changes]); err != nil {
			b.Fatal(err)
		}
		n++
	}
}
