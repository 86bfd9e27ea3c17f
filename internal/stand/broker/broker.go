// The broker itself: this file owns queues, exchanges and what is unsettled, all under one lock. Its tables: queues
// and exchanges (mostNames, for good), ready messages (mostHeld in all; emptied by settling), connections
// (mostConns), channels (mostChannels a connection). A peer that reads too slowly loses its connection at mostOut.

package broker

import (
	"errors"
	"fmt"
	"maps"
	"slices"
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

type message struct {
	exchange, key string
	props         Props
	body          []byte
	again         bool // delivered before
	times         int  // deliveries that came back
	seq           uint64
}

type queue struct {
	name      string
	args      Table
	ready     []*message // by seq
	head      int        // of ready
	returned  []*message // came back; by seq, all older than what is in ready
	consumers []*consumer
	next      int // whose turn it is
	out       int // unsettled
}

func (q *queue) len() int { return len(q.ready) - q.head + len(q.returned) }

func (q *queue) pop() *message {
	if len(q.returned) > 0 {
		m := q.returned[0]
		q.returned = q.returned[1:]
		return m
	}
	m := q.ready[q.head]
	q.ready[q.head] = nil
	if q.head++; q.head > 1024 && q.head*2 > len(q.ready) {
		q.ready, q.head = slices.Delete(q.ready, 0, q.head), 0
	}
	return m
}

func (q *queue) putBack(m *message) {
	at, _ := slices.BinarySearchFunc(q.returned, m.seq, func(x *message, seq uint64) int {
		return int(int64(x.seq) - int64(seq))
	})
	q.returned = slices.Insert(q.returned, at, m)
}

type consumer struct {
	tag    string
	ch     *channel
	q      *queue
	credit int // 0: no bound
	out    int
	noAck  bool
}

type unsettled struct {
	m *message
	q *queue
	c *consumer
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

// Declare makes a queue; its arguments as RabbitMQ names them (x-dead-letter-exchange, x-queue-type,
// x-delivery-limit, x-single-active-consumer).
func (b *Broker) Declare(name string, args Table) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declare(name, args)
}

func (b *Broker) declare(name string, args Table) error {
	if b.queues[name] == nil {
		if len(b.queues) >= mostNames {
			return fmt.Errorf("over %d queues", mostNames)
		}
		b.queues[name] = &queue{name: name, args: args}
		b.order = append(b.order, b.queues[name])
	}
	return nil
}

// Exchange makes one of the kind direct or fanout, and Bind a way from it to a queue.
func (b *Broker) Exchange(name, kind string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchange(name, kind)
}

func (b *Broker) exchange(name, kind string) error {
	if len(b.kinds) >= mostNames || kind != "direct" && kind != "fanout" {
		return fmt.Errorf("exchange %s: found kind %q, expected direct or fanout, and under %d in all", name, kind, mostNames)
	}
	if b.kinds[name] == "" {
		b.kinds[name], b.exchanges[name] = kind, map[string][]string{}
	}
	return nil
}

// Depot makes what the rigs consume from: the queue readings, and a fanout exchange for what is given up, led to the
// queue dead.
func (b *Broker) Depot(exchange string, args Table) error {
	return errors.Join(b.Declare("readings", args), b.Declare("dead", nil), b.Exchange(exchange, "fanout"), b.Bind("dead", exchange, ""))
}

// Bind leads what comes to the exchange under the key on to the queue.
func (b *Broker) Bind(queue, exchange, key string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(queue, exchange, key)
}

func (b *Broker) bind(queue, exchange, key string) error {
	if b.queues[queue] == nil || exchange == "" || b.kinds[exchange] == "" {
		return fmt.Errorf("no queue %q or no exchange %q", queue, exchange)
	}
	if b.kinds[exchange] == "fanout" {
		key = ""
	}
	keys := b.exchanges[exchange]
	if !slices.Contains(keys[key], queue) && len(keys) < mostNames {
		keys[key] = append(keys[key], queue)
	}
	return nil
}

// Publish puts a message in, as a peer would; false: it reached no queue.
func (b *Broker) Publish(exchange, key string, p Props, body []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.route(nil, exchange, key, p, body)
	b.pump()
	return ok
}

func (b *Broker) route(c *conn, exchange, key string, p Props, body []byte) bool {
	names := []string{key}
	if exchange != "" {
		if b.kinds[exchange] == "fanout" {
			key = ""
		}
		names = b.exchanges[exchange][key]
	}
	routed := false
	for _, name := range names {
		if q := b.queues[name]; q != nil && b.held < mostHeld {
			b.seq++
			b.held++
			m := &message{exchange: exchange, key: key, props: p, body: body, seq: b.seq}
			q.ready = append(q.ready, m)
			b.tell("published", c, q, m)
			routed = true
		}
	}
	return routed
}

// pump delivers what can be.
func (b *Broker) pump() {
	for _, q := range b.order {
		for q.len() > 0 && b.deliver(q) {
		}
	}
}

// deliver hands the next message of a queue out; false: nobody takes it now.
func (b *Broker) deliver(q *queue) bool {
	var c *consumer
	for range q.consumers {
		q.next %= len(q.consumers)
		at := q.consumers[q.next]
		if q.args["x-single-active-consumer"] == true {
			at = q.consumers[0]
		}
		q.next++
		if !at.ch.closing && (at.credit == 0 || at.out < at.credit) {
			c = at
			break
		}
	}
	if c == nil {
		return false
	}
	ch, to := c.ch, c.ch.conn
	do := b.hit("deliver")
	switch do {
	case "cut-before":
		b.drop(to, "")
		return true
	case "reorder":
		if q.len() > 1 {
			first, second := q.pop(), q.pop()
			first.seq, second.seq = second.seq, first.seq
			q.putBack(second)
			q.putBack(first)
		}
	case "restart":
		b.restart()
		return true
	case "cancel":
		b.cancel(c)
		to.send(ch.id, "basic.cancel", c.tag, true)
		return true
	case "channel-error":
		b.refuse(ch, 406, "PRECONDITION_FAILED - scripted", 0)
		return true
	case "nonsense":
		to.write([]byte("\x00nothing that could be a frame\x00"))
		return true
	case "huge":
		to.write([]byte{frameBody, 0, byte(ch.id), 0x7f, 0xff, 0xff, 0xff})
		return true
	case "endless": // it says how long it is, within what was agreed, and never comes to an end
		to.write(append([]byte{frameBody, 0, byte(ch.id), 0, 0, 0x0f, 0x00}, make([]byte, 100)...))
		to.muted = true
		return true
	case "foreign": // a delivery that no consumer here asked for
		to.send(ch.id, "basic.deliver", "nobody", uint64(1)<<40, false, "", "")
		to.write(AppendFrame(nil, frameHeader, ch.id, AppendHeader(nil, 0, Props{})))
		return true
	case "mute":
		to.muted = true
	case "stop-reading":
		to.deaf = true
	case "block":
		to.send(0, "connection.blocked", "scripted")
	}
	m := q.pop()
	b.hand(c, m)
	switch do {
	case "twice":
		again := *m
		again.again = true
		b.held++
		b.hand(c, &again)
	case "same-tag": // two messages under one delivery tag
		to.content(ch.id, AppendMethod(nil, "basic.deliver", c.tag, ch.next, false, m.exchange, m.key), m.props, m.body)
	case "cut-inside":
		to.cutInside()
		b.drop(to, "flush")
	case "cut-after":
		b.drop(to, "flush")
	}
	return true
}

// hand writes one delivery.
func (b *Broker) hand(c *consumer, m *message) {
	ch, q := c.ch, c.q
	ch.next++
	p := m.props
	if m.times > 0 && q.args["x-queue-type"] == "quorum" {
		p = p.WithHeader("x-delivery-count", int64(m.times))
	}
	b.tell("delivered", ch.conn, q, m, ch.next)
	if c.noAck {
		b.held--
	} else {
		ch.out[ch.next] = unsettled{m, q, c}
		c.out++
		q.out++
	}
	ch.conn.content(ch.id, AppendMethod(nil, "basic.deliver", c.tag, ch.next, m.again, m.exchange, m.key), p, m.body)
}

// settle ends deliveries: acked, or requeued, or rejected for the dead-letter exchange.
func (b *Broker) settle(ch *channel, tag uint64, multiple bool, how string) bool {
	var tags []uint64
	for t := range ch.out {
		if t == tag || multiple && (t < tag || tag == 0) {
			tags = append(tags, t)
		}
	}
	if len(tags) == 0 && !(multiple && tag == 0) {
		return false
	}
	slices.Sort(tags)
	for _, t := range tags {
		switch do := b.hit("settle"); do {
		case "drop", "drop-cut": // the ack never came here
			b.tell("ack-dropped", ch.conn, ch.out[t].q, ch.out[t].m, t)
			if do == "drop-cut" {
				b.drop(ch.conn, "")
				return true
			}
			continue
		case "restart":
			b.restart()
			return true
		case "stop-reading":
			ch.conn.deaf = true
		case "cut-after":
			b.end(ch, t, how)
			b.drop(ch.conn, "")
			return true
		}
		b.end(ch, t, how)
	}
	return true
}

// end takes one delivery out of the unsettled.
func (b *Broker) end(ch *channel, tag uint64, how string) {
	u := ch.out[tag]
	delete(ch.out, tag)
	u.c.out--
	u.q.out--
	if how == "requeued" || how == "gone" {
		u.m.again = true
		u.m.times++
		if limit, ok := u.q.args["x-delivery-limit"].(int64); !ok || int64(u.m.times) <= limit {
			b.tell(how, ch.conn, u.q, u.m, tag)
			u.q.putBack(u.m)
			return
		}
		how = "rejected"
	}
	if how == "acked" && u.m.times < b.Again {
		u.m.again = true
		u.m.times++
		b.tell("ack-dropped", ch.conn, u.q, u.m, tag)
		u.q.putBack(u.m)
		return
	}
	b.held--
	b.tell(how, ch.conn, u.q, u.m, tag)
	if to, ok := u.q.args["x-dead-letter-exchange"].(string); ok && how == "rejected" {
		key, ok := u.q.args["x-dead-letter-routing-key"].(string)
		if !ok {
			key = u.m.key
		}
		b.route(ch.conn, to, key, u.m.props.WithHeader("x-first-death-reason", "rejected"), u.m.body)
	}
}

// back puts all that a channel has out into its queues again.
func (b *Broker) back(ch *channel) {
	for _, t := range slices.Backward(slices.Sorted(maps.Keys(ch.out))) {
		b.end(ch, t, "gone")
	}
}

// cancel ends a consumer; what it has out stays its channel's to settle.
func (b *Broker) cancel(c *consumer) {
	c.q.consumers = slices.DeleteFunc(c.q.consumers, func(x *consumer) bool { return x == c })
	delete(c.ch.consumers, c.tag)
}

// drop ends a connection: at once, or once what was written is out.
func (b *Broker) drop(c *conn, how string) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	b.tell("lost", c, nil, nil)
	for _, ch := range c.channels {
		for _, x := range ch.consumers {
			b.cancel(x)
		}
		b.back(ch)
	}
	c.ended = true
	if how == "" || c.muted {
		c.out = nil
		c.net.Close()
	} else {
		_ = c.net.SetWriteDeadline(time.Now().Add(flushFor)) // a peer that does not read must not hold the end up
	}
	c.more.Broadcast()
}

// peers are the connections, the oldest first.
func (b *Broker) peers() []*conn {
	return slices.SortedFunc(maps.Keys(b.conns), func(x, y *conn) int { return x.number - y.number })
}

func (b *Broker) restart() {
	for _, c := range b.peers() {
		b.drop(c, "")
	}
}

// Restart drops all connections, as a broker that goes and comes back at once; its queues are durable.
func (b *Broker) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart()
}

// Cut drops the newest connection.
func (b *Broker) Cut() { b.CutPeer("") }

// CutPeer drops the newest connection of that name, or of any where it is empty.
func (b *Broker) CutPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range slices.Backward(b.peers()) {
		if name == "" || c.name == name {
			b.drop(c, "")
			b.pump()
			return
		}
	}
}

// Release sends the confirms that were held back, and what was blocked goes on.
func (b *Broker) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.late
	b.late = nil
	for _, f := range late {
		f()
	}
	for _, c := range b.peers() {
		if c.deaf = false; c.open {
			c.send(0, "connection.unblocked")
		}
		c.more.Broadcast()
	}
}

// State is what a queue holds.
type State struct{ Ready, Out, Consumers, Credit, Conns int }

// Wait returns once the queue is as wanted, or false when the broker is closed before.
func (b *Broker) Wait(name string, wanted func(State) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if wanted(b.state(name)) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// Seen returns once so many events of a kind have been, or false when the broker is closed before.
func (b *Broker) Seen(what string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.told[what] < n {
		b.changed.Wait()
	}
	return b.told[what] >= n
}

// Counted is how many events of a kind there were.
func (b *Broker) Counted(what string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told[what]
}

// State tells what a queue holds now.
func (b *Broker) State(name string) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(name)
}

func (b *Broker) state(name string) State {
	s := State{Conns: len(b.conns)}
	if q := b.queues[name]; q != nil {
		s.Ready, s.Out, s.Consumers = q.len(), q.out, len(q.consumers)
		for _, c := range q.consumers {
			s.Credit += c.credit
		}
	}
	return s
}

// Message is one that is read out of a queue.
type Message struct {
	Props Props
	Body  []byte
}

// Take empties a queue of what is ready.
func (b *Broker) Take(name string) (all []Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for q := b.queues[name]; q != nil && q.len() > 0; {
		m := q.pop()
		b.held--
		all = append(all, Message{m.props, m.body})
	}
	b.changed.Broadcast()
	return all
}
