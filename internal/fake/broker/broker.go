// The broker itself: this file owns its tables, all under one lock: queues
// and exchanges (mostNames, for good), ready messages (mostHeld in all; emptied by settling), connections
// (mostConns), channels (mostChannels a connection). A peer that reads too slowly loses its connection at mostOut.

package broker

import (
	"sync"
	"time"
)

const (
	mostNames    = 1024
	mostHeld     = 4 << 20 // messages
	mostConns    = 256
	mostChannels = 16
	mostOut      = 16 << 20 // bytes
	mostBody     = 1 << 20
	flushFor     = 2 * time.Second
)

// Event is one thing that happened at the broker, for who watches.
type Event struct {
	What        string // published, delivered, acked, requeued, rejected, gone, ack-dropped, lost, consumed, cancelled, fault
	Conn        int    // number of the connection, from 1; 0: the rig itself
	Peer        string // the connection's own name
	Tag         uint64 // of the delivery on that connection
	Queue, ID   string // message-id
	Type        string
	Redelivered bool
}

// Broker is the stand-in.
type Broker struct {
	mu        sync.Mutex
	changed   *sync.Cond
	script    script
	queues    map[string]*queue
	order     []*queue                       // as declared: a map's order is chance
	exchanges map[string]map[string][]string // kind under "", else queues by key
	kinds     map[string]string
	conns     map[*conn]struct{}
	accepted  int // so far
	held      int // messages
	seq       uint64
	closed    bool
	watch     func(Event)
	told      map[string]int // events by what they are
	late      []func()       // confirms held back
	door      *door
	Heartbeat uint16 // seconds, offered; set before Start
	FrameMax  uint32
	Again     int // how often each message is handed out again though it was acked; set before the first peer
}

// New makes one that commits these faults. Nothing listens yet.
func New(faults ...Fault) (*Broker, error) {
	for _, f := range faults {
		if err := f.Check(); err != nil {
			return nil, err
		}
	}
	b := &Broker{script: script{faults, map[string]int{}}, queues: map[string]*queue{}, kinds: map[string]string{"": "direct"},
		exchanges: map[string]map[string][]string{}, conns: map[*conn]struct{}{}, told: map[string]int{}, Heartbeat: 10, FrameMax: 4096}
	b.changed = sync.NewCond(&b.mu)
	return b, nil
}

// Watch has f told of every event, in order; it must not call the broker.
func (b *Broker) Watch(f func(Event)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watch = f
}

func (b *Broker) tell(what string, c *conn, q *queue, m *message, tag ...uint64) {
	b.told[what]++
	b.changed.Broadcast()
	if b.watch == nil {
		return
	}
	e := Event{What: what}
	if c != nil {
		e.Conn, e.Peer = c.number, c.name
	}
	if len(tag) > 0 {
		e.Tag = tag[0]
	}
	if q != nil {
		e.Queue = q.name
	}
	if m != nil {
		e.ID, e.Type, e.Redelivered = m.props.Text(MessageID), m.props.Text(Type), m.again
	}
	b.watch(e)
}

// hit counts an event of the script, and tells who watches that a fault is committed.
func (b *Broker) hit(on string) string {
	do := b.script.hit(on)
	if do != "" {
		b.tell("fault", nil, nil, nil)
	}
	return do
}
