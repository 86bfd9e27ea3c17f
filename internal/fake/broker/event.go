package broker

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventPublished    EventKind = "published"
	EventDelivered    EventKind = "delivered"
	EventAcked        EventKind = "acked"
	EventRequeued     EventKind = "requeued"    // by basic.nack or basic.reject with requeue
	EventRejected     EventKind = "rejected"    // without requeue, or because the queue's delivery limit was exceeded
	EventAutoRequeued EventKind = "gone"        // requeued because its channel or connection was closed
	EventAckDropped   EventKind = "ack-dropped" // an ack was ignored, by a fault or RedeliveriesAfterAck
	EventUnknownTag   EventKind = "unknown-tag" // an ack, nack or reject named no unacked delivery of its channel
	EventConnLost     EventKind = "lost"        // a connection was closed, by either side
	EventConsumed     EventKind = "consumed"    // a consumer was added
	EventCancelled    EventKind = "cancelled"   // a consumer was removed by its peer
	EventFault        EventKind = "fault"       // a fault was injected
)

// Event describes something that happened in the broker. Fields that do not apply to its kind are zero.
type Event struct {
	Kind        EventKind
	Conn        int    // number of the connection, from 1; 0 if no connection caused the event
	Peer        string // connection_name of the connection's client properties
	Tag         uint64 // delivery tag on its channel
	Queue       string
	ID          string // the message-id property
	Type        string // the type property
	Redelivered bool
}

// Watch sets the observer that every event is passed to, in order. The broker's lock is held meanwhile, so observer must not
// call the broker.
func (b *Broker) Watch(observer func(Event)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observer = observer
}

// emit records an event of a connection; c is nil for an event without one.
func (b *Broker) emit(kind EventKind, c *conn) { b.recordEvent(kind, c, Event{}) }

// emitMessage records an event of a message; tag is 0 if the message was not delivered.
func (b *Broker) emitMessage(kind EventKind, c *conn, q *queue, m *message, tag uint64) {
	b.recordEvent(kind, c, Event{Tag: tag, Queue: q.name, ID: m.props.Text(MessageID), Type: m.props.Text(Type), Redelivered: m.redelivered})
}

// emitQueue records an event of a queue.
func (b *Broker) emitQueue(kind EventKind, c *conn, q *queue) {
	b.recordEvent(kind, c, Event{Queue: q.name})
}

// recordEvent counts an event, wakes the waiting goroutines and calls the observer.
func (b *Broker) recordEvent(kind EventKind, c *conn, e Event) {
	b.eventCounts[kind]++
	b.changed.Broadcast()
	if b.observer == nil {
		return
	}
	e.Kind = kind
	if c != nil {
		e.Conn, e.Peer = c.number, c.peer
	}
	b.observer(e)
}
