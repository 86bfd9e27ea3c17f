package amqp

import (
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventDelivered       eventKind = iota
	eventConfirmed                 // a publish was acknowledged, refused, or lost
	eventReturned                  // a publish was not routed to any queue; its confirm follows
	eventConnected                 // the session is set up
	eventConsuming                 // the consumers are started
	eventConsumersEnded            // the consumers are cancelled; no delivery of theirs follows
	eventBlocked                   // the broker stops or resumes accepting publishes
	eventCancelled                 // the broker cancelled a consumer
	eventPublisherClosed           // the broker closed the publishing channel; it is opened again
	eventClosed                    // the connection has ended, or was never set up
)

// event is something that happened on a session.
type event struct {
	kind          eventKind
	delivery      amqp.Delivery // of eventDelivered
	receivedAt    time.Time     // of eventDelivered
	queue         int           // of eventDelivered: index of the configured queue
	publishNumber uint64        // of eventConfirmed and eventReturned
	isAcked       bool          // of eventConfirmed
	isBlocked     bool          // of eventBlocked
	failure       intake.Failure
	err           error // of eventPublisherClosed and eventClosed; may be nil
}

// handleEvents handles a batch of events. Events of a dropped session are ignored, as the broker delivers its messages again.
func (f *Front) handleEvents(s *session, events []event) {
	for n := range events {
		if f.session != s {
			return
		}
		f.handleEvent(s, &events[n])
	}
}

func (f *Front) handleEvent(s *session, e *event) {
	now := f.now()
	switch e.kind {
	case eventDelivered:
		f.receive(s, e)
	case eventConfirmed:
		f.handleConfirm(e)
	case eventReturned:
		if m := f.unconfirmed[e.publishNumber]; m != nil {
			m.isUnroutable = true
		}
	case eventConnected:
		f.isConnected = true
		f.controller.Connected(now)
	case eventConsuming:
		f.controller.ResponseReceived(now)
	case eventConsumersEnded:
		f.handleConsumersEnded(now)
	case eventBlocked:
		f.controller.SetBlocked(now, e.isBlocked)
	case eventCancelled:
		f.controller.ConsumerCancelled(now)
	case eventPublisherClosed: // its publishes follow as not confirmed
		f.log.Error("amqp: publishing channel closed by the broker", zap.Error(e.err))
	case eventClosed:
		f.dropSession(s)
		f.controller.ConnectionFailed(now, e.failure, closeReason(e.err))
	}
}

// handleConsumersEnded requeues the bounced messages, which can no longer be delivered to this instance.
func (f *Front) handleConsumersEnded(now time.Duration) {
	f.consumersStopped = true
	for _, m := range f.bounced {
		f.requeue(m, returnCount(&m.delivery))
	}
	f.bounced = nil
	f.controller.ResponseReceived(now)
	f.closeIfDrained()
}

func closeReason(err error) string {
	if err == nil {
		return "closed"
	}
	return err.Error()
}
