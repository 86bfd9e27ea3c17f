package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// muted loses its datagrams once it is told to, so that gossip tells nobody anything.
type muted struct {
	Transport
	mute atomic.Bool
}

func (m *muted) WriteTo(b []byte, address string) (time.Time, error) {
	return m.WriteToAddress(b, memberlist.Address{Addr: address})
}

func (m *muted) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	if m.mute.Load() {
		return time.Now(), nil
	}
	return m.Transport.WriteToAddress(b, address)
}

// Where gossip tells of a leaving member only to others that leave as well, those that stay hear of it by its last exchange, not
// by their probes some seconds later.
func TestALeavingMemberTellsThoseThatStayItself(t *testing.T) {
	stays, _ := startAlone(t)
	var quiet *muted
	leaves, err := Start(Config{Name: "b", Bind: freeAddress(t, 22), Seeds: []string{stays.list.LocalNode().Address()}, Most: 4, Sync: time.Hour,
		Record: Record{Zone: "z1", Rank: -1}, Wrap: func(transport Transport) Transport {
			quiet = &muted{Transport: transport}
			return quiet
		}}, &heard{})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "both see each other", 20*time.Second, func() bool { return len(stays.View()) == 2 && len(leaves.View()) == 2 })
	quiet.mute.Store(true)
	if err := leaves.Leave(time.Second); err != nil {
		t.Log("gossip told nobody, as it should: ", err)
	}
	// The first probe that could find it dead takes a second, and its suspicion four more.
	waitFor(t, "the one that stays knows that it left", 2*time.Second, func() bool { return len(stays.View()) == 1 })
}

func waitFor(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}
