package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// mutedTransport drops all datagrams once mute is set, so that gossip reaches nobody.
type mutedTransport struct {
	Transport
	mute atomic.Bool
}

func (m *mutedTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return m.WriteToAddress(b, memberlist.Address{Addr: address})
}

func (m *mutedTransport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	if m.mute.Load() {
		return time.Now(), nil
	}
	return m.Transport.WriteToAddress(b, address)
}

// If gossip announces a departure only to others that leave as well, those that stay learn of it by the last push/pull, not by
// their probes some seconds later.
func TestLeaveReachesStayingMembersByPushPull(t *testing.T) {
	staying, _ := startAlone(t)
	var quiet *mutedTransport
	leaving, err := Start(Config{Name: "b", Bind: freeAddress(t, 22), Seeds: []string{staying.list.LocalNode().Address()}, MaxMembers: 4, SyncInterval: time.Hour,
		Record: Record{Zone: "z1", Rank: -1}, WrapTransport: func(transport Transport) Transport {
			quiet = &mutedTransport{Transport: transport}
			return quiet
		}}, &updateCounter{})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "both see each other", 20*time.Second, func() bool { return len(staying.View()) == 2 && len(leaving.View()) == 2 })
	quiet.mute.Store(true)
	if err := leaving.Leave(time.Second); err != nil {
		t.Log("gossip reached nobody, as intended: ", err)
	}
	// The first probe that could find it dead takes a second, and its suspicion four more.
	waitFor(t, "the staying member knows of the departure", 2*time.Second, func() bool { return len(staying.View()) == 1 })
}

func waitFor(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}
