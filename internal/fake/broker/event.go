package broker

// EventKind is what happened at the broker.
type EventKind string

// The kinds of events.
const (
	EventPublished    EventKind = "published"
	EventDelivered    EventKind = "delivered"
	EventAcked        EventKind = "acked"
	EventRequeued     EventKind = "requeued"    // by basic.nack or basic.reject
	EventRejected     EventKind = "rejected"    // without requeue, or beyond the queue's delivery limit
	EventAutoRequeued EventKind = "gone"        // back in the queue because the channel or connection ended
	EventAckDropped   EventKind = "ack-dropped" // an ack that the fault script discarded
	EventUnknownTag   EventKind = "unknown-tag" // an ack for a delivery that is not outstanding
	EventConnLost     EventKind = "lost"
	EventConsumed     EventKind = "consumed"  // a consumer was added
	EventCancelled    EventKind = "cancelled" // a consumer was removed by its peer
	EventFault        EventKind = "fault"
)

// Event is one occurrence at the broker, as passed to the observer. Fields that do not apply are zero.
type Event struct {
	Kind        EventKind
	Conn        int    // number of the connection, from 1; 0 for Publish
	Peer        string // the connection's name, from its client properties
	Tag         uint64 // delivery tag on that connection
	Queue       string
	ID          string // the message-id property
	Type        string // the type property
	Redelivered bool
}

// Watch passes every event to observer, in order and with the broker's lock held, so observer must not call the broker.
func (b *Broker) Watch(observer func(Event)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observer = observer
}

// emit counts an event of a connection, and passes it to the observer.
func (b *Broker) emit(kind EventKind, c *conn) { b.publishEvent(kind, c, Event{}) }

// emitMessage is emit for an event of a message; tag is 0 where it has no delivery.
func (b *Broker) emitMessage(kind EventKind, c *conn, q *queue, m *message, tag uint64) {
	b.publishEvent(kind, c, Event{Tag: tag, Queue: q.name, ID: m.props.Text(MessageID), Type: m.props.Text(Type), Redelivered: m.redelivered})
}

// emitQueue is emit for an event of a queue.
func (b *Broker) emitQueue(kind EventKind, c *conn, q *queue) {
	b.publishEvent(kind, c, Event{Queue: q.name})
}

func (b *Broker) publishEvent(kind EventKind, c *conn, e Event) {
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
