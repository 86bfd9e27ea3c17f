package configuration_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// outbox is a Host that keeps what it was handed.
type outbox struct {
	sent  []sent
	force []configuration.Version
}

type sent struct {
	to string
	m  configuration.Message
}

func (o *outbox) Send(to string, m configuration.Message) { o.sent = append(o.sent, sent{to, m}) }

func (o *outbox) InForce(_ time.Duration, s *configuration.State) {
	o.force = append(o.force, s.Version())
}

// last message sent to a peer.
func (o *outbox) last(t *testing.T, to string) configuration.Message {
	t.Helper()
	for n := len(o.sent) - 1; n >= 0; n-- {
		if o.sent[n].to == to {
			return o.sent[n].m
		}
	}
	t.Fatalf("nothing was sent to %s", to)
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

// puts are changes that add or replace tenants, name and body in turns.
func puts(t testing.TB, v configuration.Version, namesAndBodies ...string) (changes []configuration.Change) {
	t.Helper()
	for n := 0; n < len(namesAndBodies); n += 2 {
		changes = append(changes, configuration.Change{Resource: resource(t, namesAndBodies[n], namesAndBodies[n+1], v)})
	}
	return changes
}

func command(t testing.TB, base, v configuration.Version, namesAndBodies ...string) configuration.Command {
	return configuration.Command{Base: base, Version: v, Changes: puts(t, v, namesAndBodies...)}
}

// tenants is a state of so many of them at version 1/1.
func tenants(t testing.TB, count int) *configuration.State {
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

func wantRefusal(t testing.TB, err error, why configuration.Reason) {
	t.Helper()
	var refusal *configuration.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != why {
		t.Errorf("found %v, expected a refusal: %v", err, why)
	}
}

func TestStoreRefusesWhatIsOldOrMadeOnAnotherVersion(t *testing.T) {
	v0, v1 := configuration.Version{}, version(3, 1)
	for name, c := range map[string]struct {
		command configuration.Command
		why     configuration.Reason
	}{
		"older token":                {command(t, v1, version(2, 2), "a", "2"), configuration.Stale},
		"same once more":             {command(t, v0, v1, "a", "1"), configuration.Stale},
		"older version":              {command(t, v0, version(3, 0), "a", "2"), configuration.Stale},
		"on another version":         {command(t, version(3, 5), version(3, 6), "a", "2"), configuration.WrongBase},
		"a counter left out":         {command(t, v1, version(3, 3), "a", "2"), configuration.WrongBase},
		"another base, next version": {command(t, v0, version(3, 2), "a", "2"), configuration.WrongBase},
		"newer token, old base":      {command(t, v0, version(4, 1), "a", "2"), configuration.WrongBase},
		"nothing":                    {command(t, v1, version(3, 2)), configuration.Missing},
		"resources of another version": {configuration.Command{Base: v1, Version: version(3, 2),
			Changes: puts(t, v1, "a", "2")}, configuration.Malformed},
		"removes what isn't there": {configuration.Command{Base: v1, Version: version(3, 2),
			Changes: []configuration.Change{{Resource: resource(t, "b", "", version(3, 2)), Removed: true}}}, configuration.Missing},
		"twice the same": {command(t, v1, version(3, 2), "a", "2", "a", "3"), configuration.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			s := configuration.NewStore(configuration.Empty(), 0)
			s.Fence(3)
			if err := s.Apply(command(t, v0, v1, "a", "1")); err != nil {
				t.Fatal(err)
			}
			before := s.State()
			wantRefusal(t, s.Apply(c.command), c.why)
			if s.State() != before {
				t.Error("a refused command changed the state")
			}
		})
	}
}

func TestStoreAfterANewGrantTakesNothingOfTheOldOwner(t *testing.T) {
	s := configuration.NewStore(configuration.Empty(), 1)
	if err := s.Apply(command(t, version(0, 0), version(1, 1), "a", "1")); err != nil {
		t.Fatal(err)
	}
	s.Fence(2) // granted, though the new owner has made nothing yet
	wantRefusal(t, s.Apply(command(t, version(1, 1), version(1, 2), "a", "2")), configuration.Stale)
	if err := s.Apply(command(t, version(1, 1), version(2, 2), "a", "3")); err != nil {
		t.Error(err)
	}
}

func TestStoreRefusesOverItsBounds(t *testing.T) {
	s := configuration.NewStore(configuration.Empty(), 1)
	var many []string
	for n := range configuration.MostChanges + 1 {
		many = append(many, fmt.Sprint(n), "")
	}
	wantRefusal(t, s.Apply(command(t, version(0, 0), version(1, 1), many...)), configuration.OverBound)
	var large []string
	for n := range configuration.MostChangeBytes/configuration.MostBody + 1 {
		large = append(large, fmt.Sprint(n), string(make([]byte, configuration.MostBody)))
	}
	wantRefusal(t, s.Apply(command(t, version(0, 0), version(1, 1), large...)), configuration.OverBound)
	_, err := configuration.NewResource(configuration.Tenant, "", "", version(1, 1))
	wantRefusal(t, err, configuration.OverBound)
	_, err = configuration.NewResource(9, "a", "", version(1, 1))
	wantRefusal(t, err, configuration.UnknownType)
}

func TestStateBounds(t *testing.T) {
	v := version(1, 1)
	var changes []configuration.Change
	for n := range configuration.MostResources + 1 {
		changes = append(changes, configuration.Change{Resource: resource(t, fmt.Sprint(n), "", v)})
	}
	_, err := configuration.Empty().With(v, changes)
	wantRefusal(t, err, configuration.OverBound)
	if _, err = configuration.Empty().With(v, changes[1:]); err != nil {
		t.Error(err)
	}
}

func TestDigestsFollowFromWhatIsHeldAlone(t *testing.T) {
	a := tenants(t, 500)
	v := version(1, 2)
	there, err := a.With(v, puts(t, v, "tenant-00007", "new", "another", "x"))
	if err != nil {
		t.Fatal(err)
	}
	if there.Root() == a.Root() || there.Get(configuration.Tenant, "another") == nil || a.Get(configuration.Tenant, "another") != nil {
		t.Fatal("a change changed nothing, or the state before")
	}
	back, _ := there.With(version(1, 1), []configuration.Change{
		{Resource: a.Get(configuration.Tenant, "tenant-00007")}, {Resource: resource(t, "another", "", v), Removed: true}})
	if back.Root() != a.Root() || back.Len() != a.Len() || back.Bytes() != a.Bytes() {
		t.Error("the same resources at the same version have another digest")
	}
	if other, _ := a.With(version(1, 2), nil); other.Root() == a.Root() {
		t.Error("another version has the same digest")
	}
}

func TestControlTakesChangesAsOwnerWithAQuorumAlone(t *testing.T) {
	edit := []configuration.Edit{{Type: configuration.Tenant, Name: "a", Body: "1"}}
	c := configuration.NewControl(0, &outbox{}, configuration.NewStore(configuration.Empty(), 1))
	_, err := c.Submit(time.Second, 1, false, edit)
	wantRefusal(t, err, configuration.NotOwner)
	_, err = c.Submit(5*time.Second, 1, true, edit)
	wantRefusal(t, err, configuration.NoQuorum)
	c.Confirmed(5 * time.Second)
	command, err := c.Submit(6*time.Second, 1, true, edit)
	if err != nil {
		t.Fatal(err)
	}
	if c.State().Len() != 0 {
		t.Error("a change is in force before the log agreed to it")
	}
	_, err = c.Submit(6*time.Second, 1, true, edit)
	wantRefusal(t, err, configuration.InFlight)
	decoded, err := configuration.DecodeCommand(command.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Applied(6*time.Second, decoded); err != nil || c.State().Version() != version(1, 1) {
		t.Errorf("%v, version %v", err, c.State().Version())
	}
}

func TestTreeKeepsFanOutAndAsksLowerRanksAlone(t *testing.T) {
	var zone []subset.Claim
	for n := range 30 {
		zone = append(zone, subset.Claim{Name: fmt.Sprintf("m%02d", n), Rank: n, JoinEpoch: uint64(n)})
	}
	controls := []string{"c0", "c1", "c2", "c3", "c4", "c5"}
	tree := configuration.Tree("z", zone, controls)
	asked := map[string]int{}
	for n, claim := range zone {
		s := tree[claim.Name]
		asked[s.Near[0]]++
		if n > 0 && s.Near[0] >= claim.Name || n > 1 && (len(s.Near) < 2 && s.Near[0] != "m00" || s.Near[len(s.Near)-1] >= claim.Name) {
			t.Errorf("%s asks %v", claim.Name, s.Near)
		}
		if len(s.Near)+len(s.Last) < len(controls) {
			t.Errorf("%s has no way to a control machine", claim.Name)
		}
	}
	for name, n := range asked {
		if n > configuration.FanOut {
			t.Errorf("%d ask %s", n, name)
		}
	}
	without := configuration.Tree("z", zone[:29], controls) // the last leaves: nobody else moves
	for _, claim := range zone[:29] {
		if without[claim.Name].Near[0] != tree[claim.Name].Near[0] {
			t.Errorf("%s moved", claim.Name)
		}
	}
}
