package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// mutedTransport drops all datagrams once isMuted is set, so that gossip reaches no member.
type mutedTransport struct {
	Transport
	isMuted atomic.Bool
}

func (m *mutedTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return m.WriteToAddress(b, memberlist.Address{Addr: address})
}

func (m *mutedTransport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	if m.isMuted.Load() {
		return time.Now(), nil
	}
	return m.Transport.WriteToAddress(b, address)
}

// If gossip reaches only members that leave as well, the members that stay must learn of a departure by the last push/pull,
// and not by their health checks some seconds later.
func TestLeaveReachesStayingMembersByPushPull(t *testing.T) {
	staying, _ := startAlone(t)
	var transport *mutedTransport
	leaving, err := Start(Config{Name: "b", Bind: freeAddress(t, 22), Seeds: []string{staying.list.LocalNode().Address()}, MaxMembers: 4, SyncInterval: time.Hour,
		Record: Record{Zone: "z1", Rank: -1}, WrapTransport: func(inner Transport) Transport {
			transport = &mutedTransport{Transport: inner}
			return transport
		}}, &updateCounter{})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "both see each other", 20*time.Second, func() bool { return len(staying.View()) == 2 && len(leaving.View()) == 2 })
	transport.isMuted.Store(true)
	if err := leaving.Leave(time.Second); err != nil {
		t.Log("gossip reached no member, as intended:", err)
	}
	// Health checks take at least five seconds: one until the first failed check, and four of suspicion.
	waitFor(t, "the staying member learns of the departure", 2*time.Second, func() bool { return len(staying.View()) == 1 })
}

func waitFor(t *testing.T, what string, timeout time.Duration, isMet func() bool) {
	t.Helper()
	for start := time.Now(); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > timeout {
			t.Fatalf("%s: not within %v", what, timeout)
		}
	}
}
