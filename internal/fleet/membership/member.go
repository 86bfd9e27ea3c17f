// Package member finds and watches the other instances of a fleet with SWIM, as hashicorp/memberlist does it
// (probes, suspicion, incarnation numbers, gossip); no protocol of ours. Each member carries a small versioned record
// (zone, region, epoch, capacity, lag, flag, share, rank) in memberlist's node metadata, and what it hears is handed to a
// Watcher as one method call a change, from memberlist's own goroutines: the watcher must hand it on to its loop and
// return, never block.
//
// It owns the view of members and must never decide anything from it: decisions are in internal/decide.
//
// Tables: the view holds at most Config.Most members; a peer past that, or with a record that does not read (too
// long, not JSON, another version, a name other than its own), is refused by memberlist's alive delegate, so it never
// enters memberlist's table nor ours and costs only itself. Members that leave or are declared dead are removed from
// the view at once; memberlist keeps dead ones for its GossipToTheDeadTime and then drops them. Members declared
// dead (not left) are kept apart, at most Most of them, each for reconnectFor, to be tried again.
package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Watcher hears the changes of the view, each once, in the order memberlist found them.
type Watcher interface {
	Joined(r Record)
	Updated(r Record)
	Left(name string)
	Refused(name string, why error) // a peer kept out; memberlist will ask again on its next gossip, so this may repeat
}

// Config is what a member is started with.
type Config struct {
	Name string // unique in the fleet
	Bind string // host:port, loopback in tests; TCP and UDP both use it, and TCP dials from its host
	// Advertise is host:port that the others reach this member at, where that is not Bind (a proxy, NAT); "" for Bind.
	Advertise string
	Seeds     []string      // host:port of some members to join by; none for the first
	Most      int           // members in the view at the most, itself included; 1 to 10000
	Record    Record        // its own, Name and V filled in by Start
	Probe     time.Duration // between probes; 0 for memberlist's local default (1 s)
	Sync      time.Duration // between full exchanges of state with one member (push and pull); 0 for 15 s.
	// Gossip alone can miss a member that joined at the same moment as another; the exchange repairs that, so it
	// bounds how long views may disagree, at the cost of one TCP exchange of the whole view per member and period. Past
	// paceFrom members the period grows with them (pace.go).
	Log io.Writer // memberlist's own lines; nil for none
	// Message hears what another member sent by Send, on memberlist's goroutine: it must hand it on and return. nil: none.
	Message func(b []byte)
	// Wrap takes the place of the transport with one that counts or holds what passes; nil: none.
	Wrap func(Transport) Transport
}

// Transport is what carries a member's datagrams and streams.
type Transport = memberlist.NodeAwareTransport

// Member is one running member.
type Member struct {
	list  *memberlist.Memberlist
	mu    sync.Mutex // guards record and view, which memberlist's goroutines and the caller share
	self  Record
	view  map[string]Record
	most  int
	watch Watcher
	heard func([]byte)
	stop  chan struct{}   // closed by Leave; ends the rejoining
	gone  map[string]lost // members declared dead, not left: tried again in turn; at most most, each for reconnectFor
	turn  int

	telling  sync.Mutex  // held while a change of the record is handed to memberlist
	lastTold time.Time   // of the record's last change; guarded by mu
	waiting  *time.Timer // tells the change that waits, nil for none; guarded by mu
	ended    bool        // guarded by mu
}

// lost is a member declared dead, and where it was.
type lost struct {
	address string
	since   time.Time
}

// reconnectFor is how long a dead member is tried again. A partition longer than memberlist's gossip to the dead
// (15 s locally) is healed only by this: each side has declared the other dead and would never speak to it again.
const reconnectFor = 10 * time.Minute

const defaultSync = 15 * time.Second

// Start joins the fleet by the seeds (where none answers, it stands alone and others may join it). Errors: a
// faulty config, an address that can't be bound, a record too long.
func Start(c Config, w Watcher) (*Member, error) {
	if c.Most < 1 || c.Most > 10000 {
		return nil, fmt.Errorf("fleet most: found %d, expected 1 to 10000", c.Most)
	}
	host, port, err := net.SplitHostPort(c.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet bind: found %q, expected host:port (%v)", c.Bind, err)
	}
	p, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("fleet bind: port found %q, expected a number", port)
	}
	c.Record.V, c.Record.Name = Version, c.Name
	if err := c.Record.check(c.Name); err != nil {
		return nil, err
	}
	m := &Member{self: c.Record, view: map[string]Record{}, most: c.Most, watch: w, heard: c.Message, stop: make(chan struct{}),
		gone: map[string]lost{}}
	if _, err := m.meta(); err != nil {
		return nil, err
	}
	if c.Sync == 0 {
		c.Sync = defaultSync
	}
	lc, err := settings(c, host, p)
	if err != nil {
		return nil, err
	}
	lc.Delegate, lc.Events, lc.Alive = delegate{m}, events{m}, alive{m}
	lc.LogOutput = c.Log
	if c.Log == nil {
		lc.LogOutput = io.Discard
	}
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: p,
		Logger: log.New(lc.LogOutput, "", log.LstdFlags)})
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	lc.Transport = bound{nt, net.ParseIP(host)}
	if c.Wrap != nil {
		lc.Transport = c.Wrap(bound{nt, net.ParseIP(host)})
	}
	list, err := memberlist.Create(lc)
	if err != nil {
		_ = nt.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.list = list
	go m.rejoin(c.Seeds)
	go m.exchange(c.Sync, c.Seeds)
	return m, nil
}

func (m *Member) meta() ([]byte, error) {
	b, err := json.Marshal(m.self)
	if err == nil && len(b) > memberlist.MetaMaxSize {
		err = fmt.Errorf("own record: %d bytes, expected at most %d", len(b), memberlist.MetaMaxSize)
	}
	return b, err
}

// View is a copy of the members it knows alive now, itself included, by name.
func (m *Member) View() map[string]Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Record, len(m.view))
	for k, v := range m.view {
		out[k] = v
	}
	return out
}

// Leave flags its record "leaving", tells the others that it goes (within seven quarters of timeout) and stops; the member can't
// be used after.
func (m *Member) Leave(timeout time.Duration) error {
	m.end()
	m.mu.Lock()
	m.self.Flag = "leaving"
	m.mu.Unlock()
	m.telling.Lock()
	defer m.telling.Unlock()
	_ = m.list.UpdateNode(timeout / 2) // so that the others don't try it again as if it had died
	err := m.list.Leave(timeout)
	m.part(timeout / 4)
	return errors.Join(err, m.list.Shutdown())
}

// Stop ends it at once with no word to the others, who find it dead. It can't be used after.
func (m *Member) Stop() error {
	m.end()
	return m.list.Shutdown()
}

// admit is the one check of a peer before memberlist takes it: a record that reads, room in the view.
func (m *Member) admit(n *memberlist.Node) error {
	_, err := Read(n.Name, n.Meta)
	if err == nil {
		m.mu.Lock()
		_, known := m.view[n.Name]
		full := !known && len(m.view) >= m.most
		m.mu.Unlock()
		if full {
			err = fmt.Errorf("member %q: view full at %d members", n.Name, m.most)
		}
	}
	if err != nil {
		m.watch.Refused(n.Name, err)
	}
	return err
}
