package amqp

import (
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
)

// eventKind says what happened on a session.
type eventKind uint8

const (
	eventDelivered       eventKind = iota
	eventConfirmed                 // the broker accepted a publish, refused it, or it was lost (see isAcked)
	eventReturned                  // the broker routed a publish to no queue; its confirm follows
	eventConnected                 // the session has logged in and opened its channels
	eventConsuming                 // all consumers are started
	eventConsumersEnded            // all consumers are cancelled, and none of their deliveries follows
	eventBlocked                   // the broker stopped or resumed accepting publishes (see isBlocked)
	eventCancelled                 // the broker cancelled a consumer
	eventPublisherClosed           // the broker closed the publishing channel, which is opened again
	eventClosed                    // the connection ended or could not be set up
)

// event is one occurrence on a session, passed from its goroutines to the front.
type event struct {
	kind          eventKind
	delivery      amqp.Delivery  // of eventDelivered
	receivedAt    time.Time      // of eventDelivered
	queue         int            // of eventDelivered: index in the configured queues
	publishNumber uint64         // of eventConfirmed and eventReturned
	isAcked       bool           // of eventConfirmed: the broker accepted the publish
	isBlocked     bool           // of eventBlocked
	failure       intake.Failure // of eventClosed
	err           error          // of eventPublisherClosed and eventClosed; may be nil
}

// handleEvents handles a batch of events. It ignores those of a dropped session, whose messages the broker redelivers.
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
	case eventPublisherClosed: // eventConfirmed follows for each unconfirmed publish
		f.log.Error("amqp: publishing channel closed by the broker", zap.Error(e.err))
	case eventClosed:
		f.dropSession(s)
		f.controller.ConnectionFailed(now, e.failure, closeReason(e.err))
	}
}

// handleConsumersEnded requeues the messages in loopedBack, which can no longer be delivered to this instance.
func (f *Front) handleConsumersEnded(now time.Duration) {
	f.consumersStopped = true
	for _, m := range f.loopedBack {
		f.requeue(m, requeueCount(&m.delivery))
	}
	f.loopedBack = nil
	f.controller.ResponseReceived(now)
	f.closeIfDrained()
}

func closeReason(err error) string {
	if err == nil {
		return "closed"
	}
	return err.Error()
}
