package configuration_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// recordingHost is a Host that records the messages sent and the versions activated.
type recordingHost struct {
	sent      []sentMessage
	activated []configuration.Version
}

type sentMessage struct {
	to      string
	message configuration.Message
}

func (h *recordingHost) Send(to string, m configuration.Message) {
	h.sent = append(h.sent, sentMessage{to, m})
}

func (h *recordingHost) Activated(_ time.Duration, s *configuration.State) {
	h.activated = append(h.activated, s.Version())
}

// lastTo returns the last message sent to a peer.
func (h *recordingHost) lastTo(t *testing.T, to string) configuration.Message {
	t.Helper()
	for n := len(h.sent) - 1; n >= 0; n-- {
		if h.sent[n].to == to {
			return h.sent[n].message
		}
	}
	t.Fatalf("no message was sent to %q", to)
	return nil
}

func version(token, counter uint64) configuration.Version {
	return configuration.Version{Token: token, Counter: counter}
}

func resource(t testing.TB, name, body string, v configuration.Version) *configuration.Resource {
	t.Helper()
	r, err := configuration.NewResource(configuration.Tenant, name, body, v)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// putChanges returns changes that add or replace tenants, given as alternating names and bodies.
func putChanges(t testing.TB, v configuration.Version, namesAndBodies ...string) (changes []configuration.Change) {
	t.Helper()
	for n := 0; n < len(namesAndBodies); n += 2 {
		changes = append(changes, configuration.Change{Resource: resource(t, namesAndBodies[n], namesAndBodies[n+1], v)})
	}
	return changes
}

// command returns a command that adds or replaces tenants, given as alternating names and bodies.
func command(t testing.TB, base, v configuration.Version, namesAndBodies ...string) configuration.Command {
	return configuration.Command{Base: base, Version: v, Changes: putChanges(t, v, namesAndBodies...)}
}

// tenantState returns a state of count tenants at version 1/1.
func tenantState(t testing.TB, count int) *configuration.State {
	t.Helper()
	v := version(1, 1)
	var changes []configuration.Change
	for n := range count {
		changes = append(changes, configuration.Change{Resource: resource(t, fmt.Sprintf("tenant-%05d", n), `{"rate":100,"burst":20}`, v)})
	}
	s, err := configuration.Empty().With(v, changes)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func wantRejection(t testing.TB, err error, want configuration.Reason) {
	t.Helper()
	var rejection *configuration.RejectionError
	if !errors.As(err, &rejection) || rejection.Reason != want || !errors.Is(err, want) {
		t.Errorf("found error %v, expected a RejectionError with reason %v", err, want)
	}
}

func TestStoreRejectsStaleCommandsAndBaseMismatches(t *testing.T) {
	v0, v1 := configuration.Version{}, version(3, 1)
	for name, c := range map[string]struct {
		command configuration.Command
		want    configuration.Reason
	}{
		"older token":                {command(t, v1, version(2, 2), "a", "2"), configuration.ReasonStale},
		"duplicate":                  {command(t, v0, v1, "a", "1"), configuration.ReasonStale},
		"older version":              {command(t, v0, version(3, 0), "a", "2"), configuration.ReasonStale},
		"on another version":         {command(t, version(3, 5), version(3, 6), "a", "2"), configuration.ReasonBaseMismatch},
		"skipped counter":            {command(t, v1, version(3, 3), "a", "2"), configuration.ReasonBaseMismatch},
		"another base, next version": {command(t, v0, version(3, 2), "a", "2"), configuration.ReasonBaseMismatch},
		"newer token, old base":      {command(t, v0, version(4, 1), "a", "2"), configuration.ReasonBaseMismatch},
		"no changes":                 {command(t, v1, version(3, 2)), configuration.ReasonNoEffect},
		"resources of another version": {configuration.Command{Base: v1, Version: version(3, 2),
			Changes: putChanges(t, v1, "a", "2")}, configuration.ReasonMalformed},
		"removes a resource that does not exist": {configuration.Command{Base: v1, Version: version(3, 2),
			Changes: []configuration.Change{{Resource: resource(t, "b", "", version(3, 2)), Removed: true}}}, configuration.ReasonNoEffect},
		"changed twice": {command(t, v1, version(3, 2), "a", "2", "a", "3"), configuration.ReasonMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			s := configuration.NewStore(configuration.Empty(), 0)
			s.RaiseFence(3)
			if err := s.Apply(command(t, v0, v1, "a", "1")); err != nil {
				t.Fatal(err)
			}
			before := s.State()
			wantRejection(t, s.Apply(c.command), c.want)
			if s.State() != before {
				t.Error("a rejected command changed the state")
			}
		})
	}
}

func TestStoreRejectsThePreviousHolderAfterANewGrant(t *testing.T) {
	s := configuration.NewStore(configuration.Empty(), 1)
	if err := s.Apply(command(t, version(0, 0), version(1, 1), "a", "1")); err != nil {
		t.Fatal(err)
	}
	s.RaiseFence(2) // a lease is granted, but its holder has created no version yet
	wantRejection(t, s.Apply(command(t, version(1, 1), version(1, 2), "a", "2")), configuration.ReasonStale)
	if err := s.Apply(command(t, version(1, 1), version(2, 2), "a", "3")); err != nil {
		t.Error(err)
	}
}

func TestStoreRejectsCommandsOverTheLimits(t *testing.T) {
	s := configuration.NewStore(configuration.Empty(), 1)
	var many []string
	for n := range configuration.MaxChanges + 1 {
		many = append(many, fmt.Sprint(n), "")
	}
	wantRejection(t, s.Apply(command(t, version(0, 0), version(1, 1), many...)), configuration.ReasonLimitExceeded)
	var large []string
	for n := range configuration.MaxChangeBytes/configuration.MaxBodyBytes + 1 {
		large = append(large, fmt.Sprint(n), string(make([]byte, configuration.MaxBodyBytes)))
	}
	wantRejection(t, s.Apply(command(t, version(0, 0), version(1, 1), large...)), configuration.ReasonLimitExceeded)
	_, err := configuration.NewResource(configuration.Tenant, "", "", version(1, 1))
	wantRejection(t, err, configuration.ReasonLimitExceeded)
	_, err = configuration.NewResource(9, "a", "", version(1, 1))
	wantRejection(t, err, configuration.ReasonUnknownType)
}

func TestStateLimits(t *testing.T) {
	v := version(1, 1)
	var changes []configuration.Change
	for n := range configuration.MaxResources + 1 {
		changes = append(changes, configuration.Change{Resource: resource(t, fmt.Sprint(n), "", v)})
	}
	_, err := configuration.Empty().With(v, changes)
	wantRejection(t, err, configuration.ReasonLimitExceeded)
	if _, err = configuration.Empty().With(v, changes[1:]); err != nil {
		t.Error(err)
	}
}

func TestDigestsDependOnContentOnly(t *testing.T) {
	original := tenantState(t, 500)
	v := version(1, 2)
	changed, err := original.With(v, putChanges(t, v, "tenant-00007", "new", "another", "x"))
	if err != nil {
		t.Fatal(err)
	}
	if changed.Root() == original.Root() || changed.Get(configuration.Tenant, "another") == nil || original.Get(configuration.Tenant, "another") != nil {
		t.Fatal("a change had no effect, or modified the previous state")
	}
	restored, _ := changed.With(version(1, 1), []configuration.Change{
		{Resource: original.Get(configuration.Tenant, "tenant-00007")}, {Resource: resource(t, "another", "", v), Removed: true}})
	if restored.Root() != original.Root() || restored.Len() != original.Len() || restored.Bytes() != original.Bytes() {
		t.Error("the same resources at the same version have another digest")
	}
	if other, _ := original.With(version(1, 2), nil); other.Root() == original.Root() {
		t.Error("another version has the same digest")
	}
}

func TestControlNodeProposesOnlyAsLeaseHolderWithAQuorum(t *testing.T) {
	edit := []configuration.Edit{{Type: configuration.Tenant, Name: "a", Body: "1"}}
	c := configuration.NewControlNode(0, &recordingHost{}, configuration.NewStore(configuration.Empty(), 1))
	_, err := c.Propose(time.Second, configuration.Lease{Token: 1}, edit)
	wantRejection(t, err, configuration.ReasonNotLeaseHolder)
	_, err = c.Propose(5*time.Second, configuration.Lease{Token: 1, Valid: true}, edit)
	wantRejection(t, err, configuration.ReasonNoQuorum)
	c.LogConfirmed(5 * time.Second)
	command, err := c.Propose(6*time.Second, configuration.Lease{Token: 1, Valid: true}, edit)
	if err != nil {
		t.Fatal(err)
	}
	if c.State().Len() != 0 {
		t.Error("a change is active before the log committed it")
	}
	_, err = c.Propose(6*time.Second, configuration.Lease{Token: 1, Valid: true}, edit)
	wantRejection(t, err, configuration.ReasonInFlight)
	decoded, err := configuration.DecodeCommand(command.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Apply(6*time.Second, decoded); err != nil || c.State().Version() != version(1, 1) {
		t.Errorf("Apply: error %v, active version %v, expected no error and version {1 1}", err, c.State().Version())
	}
}

func TestTreeKeepsFanOutAndPollsLowerRanksOnly(t *testing.T) {
	var zone []subset.Claim
	for n := range 30 {
		zone = append(zone, subset.Claim{Name: fmt.Sprintf("m%02d", n), Rank: n, JoinEpoch: uint64(n)})
	}
	controls := []string{"c0", "c1", "c2", "c3", "c4", "c5"}
	tree := configuration.DistributionTree("z", zone, controls)
	pollers := map[string]int{}
	for n, claim := range zone {
		s := tree[claim.Name]
		pollers[s.Primary[0]]++
		if n > 0 && s.Primary[0] >= claim.Name || n > 1 && (len(s.Primary) < 2 && s.Primary[0] != "m00" || s.Primary[len(s.Primary)-1] >= claim.Name) {
			t.Errorf("%s has the primary sources %v, expected a relay and a backup of lower rank", claim.Name, s.Primary)
		}
		if len(s.Primary)+len(s.Fallback) < len(controls) {
			t.Errorf("%s lacks control nodes among its sources", claim.Name)
		}
	}
	for name, n := range pollers {
		if n > configuration.RelayFanOut {
			t.Errorf("%d members poll %s, expected at most RelayFanOut", n, name)
		}
	}
	without := configuration.DistributionTree("z", zone[:29], controls) // after the last member has left; all others must keep their source
	for _, claim := range zone[:29] {
		if without[claim.Name].Primary[0] != tree[claim.Name].Primary[0] {
			t.Errorf("%s changed its source after the last member left", claim.Name)
		}
	}
}
