package membership

import (
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Watcher receives the changes of the view, each once, in the order in which memberlist detects them. Its methods are called
// on memberlist's goroutines. They must neither block nor call the Member.
type Watcher interface {
	Joined(record Record)
	Updated(record Record)
	Left(name string)
	// Rejected reports a peer whose record was not accepted, and why. It is repeated with each further gossip about the peer.
	Rejected(name string, reason error)
}

// Member is a running member of a fleet. Its methods are safe for concurrent use, except that either Leave or
// Shutdown must be the last call.
type Member struct {
	list       *memberlist.Memberlist
	maxMembers int
	watcher    Watcher
	onMessage  func([]byte)
	stop       chan struct{} // closed by Leave and Shutdown; ends the background loops

	gossipMutex sync.Mutex // serializes announcements of this member's record

	mu                sync.Mutex // guards the fields below
	self              Record     // this member's own
	view              map[string]Record
	dead              map[string]deadMember // declared dead without having left; at most maxMembers, each for reconnectTimeout
	reconnectAttempts int                   // number of attempts to contact a dead member
	lastGossiped      time.Time             // when this member's record was last announced
	pendingGossip     *time.Timer           // announces a deferred update; nil if none is deferred
	isStopped         bool
}

// Start starts a member and joins the fleet through the seeds. If no seed answers, the member is alone; it continues to try
// the seeds, and others may join it. Its two background goroutines end after Leave or Shutdown, which do not wait for them.
// Errors: a *ConfigError, a *RecordError, or memberlist's error if an address can't be bound.
func Start(config Config, watcher Watcher) (*Member, error) {
	if config.MaxMembers < 1 || config.MaxMembers > maxMembersLimit {
		return nil, &ConfigError{Setting: "most", Found: strconv.Itoa(config.MaxMembers), Expected: fmt.Sprintf("1 to %d", maxMembersLimit)}
	}
	bind, err := parseEndpoint("bind", config.Bind)
	if err != nil {
		return nil, err
	}
	record := config.Record
	record.Version, record.Name = RecordVersion, config.Name
	if err := record.validate(config.Name); err != nil {
		return nil, err
	}
	if _, err := record.encode(); err != nil {
		return nil, err
	}
	m := &Member{maxMembers: config.MaxMembers, watcher: watcher, onMessage: config.OnMessage, stop: make(chan struct{}),
		self: record, view: map[string]Record{}, dead: map[string]deadMember{}}
	if m.list, err = m.createMemberlist(config, bind); err != nil {
		return nil, err
	}
	syncInterval := config.SyncInterval
	if syncInterval == 0 {
		syncInterval = defaultPushPullInterval
	}
	go m.reconnectLoop(config.Seeds)
	go m.pushPullLoop(syncInterval, config.Seeds)
	return m, nil
}

// createMemberlist binds the transport and starts memberlist on it.
func (m *Member) createMemberlist(config Config, bind endpoint) (*memberlist.Memberlist, error) {
	listConfig, err := memberlistConfig(config, bind)
	if err != nil {
		return nil, err
	}
	listConfig.Delegate = delegate{m}
	listConfig.Events = eventDelegate{m}
	listConfig.Alive = aliveDelegate{m}
	transport, err := newTransport(bind, listConfig.LogOutput)
	if err != nil {
		return nil, fmt.Errorf("fleet: bind transport: %w", err)
	}
	listConfig.Transport = transport
	if config.WrapTransport != nil {
		listConfig.Transport = config.WrapTransport(transport)
	}
	list, err := memberlist.Create(listConfig)
	if err != nil {
		_ = transport.Shutdown()
		return nil, fmt.Errorf("fleet: start memberlist: %w", err)
	}
	return list, nil
}

// View returns a copy of the members that are known to be alive, this one included, by name.
func (m *Member) View() map[string]Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.view)
}

// Leave sets FlagLeaving in the record, announces the departure to the others and stops. It takes at most 7/4 of timeout.
func (m *Member) Leave(timeout time.Duration) error {
	m.stopBackground()
	m.mu.Lock()
	m.self.Flag = FlagLeaving
	m.mu.Unlock()
	m.gossipMutex.Lock()
	defer m.gossipMutex.Unlock()
	_ = m.list.UpdateNode(timeout / 2) // with the flag, the others do not contact this member again as a dead one
	err := m.list.Leave(timeout)
	m.pushPullBeforeLeave(timeout / 4)
	return errors.Join(err, m.list.Shutdown())
}

// Shutdown stops at once without an announcement; the others declare the member dead.
func (m *Member) Shutdown() error {
	m.stopBackground()
	return m.list.Shutdown()
}

// stopBackground stops the background loops and discards a deferred update of the record.
func (m *Member) stopBackground() {
	close(m.stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isStopped = true
	m.cancelPendingGossip()
}

// admit checks a peer's record before memberlist admits the peer, and reports a rejection to the Watcher.
func (m *Member) admit(node *memberlist.Node) error {
	_, err := DecodeRecord(node.Name, node.Meta)
	if err == nil && m.isViewFullFor(node.Name) {
		err = fmt.Errorf("fleet: member %q rejected: %w, expected at most %d members", node.Name, ErrViewFull, m.maxMembers)
	}
	if err != nil {
		m.watcher.Rejected(node.Name, err)
	}
	return err
}

// isViewFullFor reports whether the view is full and does not contain the named member.
func (m *Member) isViewFullFor(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.view[name]
	return !known && len(m.view) >= m.maxMembers
}
