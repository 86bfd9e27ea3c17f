// This file owns what memberlist calls: the transport, the delegates, the changes of the view. It must never call
// memberlist back, whose lock is held here.

package membership

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// bound is memberlist's own transport, but its TCP dials leave from the bound host where that is one address: a
// multi-homed host's traffic then comes from the address the others know, and a rig can tell members apart by it.
type bound struct {
	*memberlist.NetTransport
	local net.IP // nil or unspecified: the kernel chooses
}

func (b bound) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return b.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (b bound) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if b.local != nil && !b.local.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: b.local}
	}
	return d.Dial("tcp", a.Addr)
}

type delegate struct{ m *Member }

func (d delegate) NodeMeta(limit int) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	b, _ := d.m.meta() // Start and Set let no record past that does not fit
	if len(b) > limit {
		return nil
	}
	return b
}

// NotifyMsg hands a message on; memberlist's buffer is its own again after.
func (d delegate) NotifyMsg(b []byte) {
	if d.m.heard != nil && len(b) <= MostMessage {
		d.m.heard(slices.Clone(b))
	}
}
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

// MostMessage is the longest that Send takes.
const MostMessage = 16 << 10

// Send gives a message to one member, over memberlist's own stream to it. Errors: not in the view, too long, not reached.
func (m *Member) Send(name string, b []byte) error {
	if len(b) > MostMessage {
		return fmt.Errorf("message to %q: found %d bytes, expected at most %d", name, len(b), MostMessage)
	}
	for _, n := range m.list.Members() {
		if n.Name == name {
			return m.list.SendReliable(n, b)
		}
	}
	return fmt.Errorf("message to %q: found no such member", name)
}

type alive struct{ m *Member }

func (a alive) NotifyAlive(n *memberlist.Node) error { return a.m.admit(n) }

type events struct{ m *Member }

func (e events) NotifyJoin(n *memberlist.Node) { e.put(n, true) }

func (e events) NotifyUpdate(n *memberlist.Node) { e.put(n, false) }

func (e events) put(n *memberlist.Node, joined bool) {
	r, err := Read(n.Name, n.Meta)
	if err != nil { // admitted records read; one that changed to garbage since is the peer's loss
		e.m.watch.Refused(n.Name, err)
		return
	}
	e.m.mu.Lock()
	_, known := e.m.view[n.Name]
	e.m.view[n.Name] = r
	delete(e.m.gone, n.Name)
	e.m.mu.Unlock()
	if joined && !known {
		e.m.watch.Joined(r)
		return
	}
	e.m.watch.Updated(r)
}

func (e events) NotifyLeave(n *memberlist.Node) {
	e.m.mu.Lock()
	last, known := e.m.view[n.Name]
	delete(e.m.view, n.Name)
	// memberlist marks dead on its own state, not on the Node it hands here, so a leave is told by the record: a
	// member flags "leaving" before it goes; any other that goes is taken as dead and tried again
	if last.Flag != "leaving" && len(e.m.gone) < e.m.most {
		e.m.gone[n.Name] = lost{n.Address(), time.Now()}
	}
	e.m.mu.Unlock()
	if known {
		e.m.watch.Left(n.Name)
	}
}
