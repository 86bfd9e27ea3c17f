package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

// publisher is the publishing side of a session. Once the session is connected, the goroutine that runs serve owns it.
type publisher struct {
	channel        *amqp.Channel
	confirms       chan amqp.Confirmation
	returns        chan amqp.Return
	closed         chan *amqp.Error
	publishedCount uint64            // publishes on this channel; the confirm of the nth has delivery tag n
	publishNumbers map[uint64]uint64 // publish numbers of the unconfirmed publishes, by the delivery tags of their confirms
}

// openPublisher opens the publishing channel in confirm mode. The Go channels for confirms and returns have room for all that can
// be outstanding. Otherwise the library could block on a full one while the session blocks on the library: a deadlock.
func (s *session) openPublisher() error {
	channel, err := s.connection.Channel()
	if err != nil {
		return err
	}
	if err := channel.Confirm(false); err != nil {
		return err
	}
	s.publisher = publisher{
		channel:        channel,
		confirms:       channel.NotifyPublish(make(chan amqp.Confirmation, cap(s.commands))),
		returns:        channel.NotifyReturn(make(chan amqp.Return, cap(s.commands))),
		closed:         channel.NotifyClose(make(chan *amqp.Error, 1)),
		publishNumbers: map[uint64]uint64{},
	}
	return nil
}

// reopenPublisher opens a new publishing channel after the broker closed the previous one. It reports the unconfirmed publishes
// as not accepted, because it is unknown which of them the broker accepted.
func (s *session) reopenPublisher(reason *amqp.Error) error {
	if s.connection.IsClosed() {
		return closeError(reason)
	}
	s.emit(event{kind: eventPublisherClosed, err: closeError(reason)})
	for pending := len(s.publisher.confirms); pending > 0; pending-- {
		if confirmation, ok := <-s.publisher.confirms; ok {
			s.reportConfirm(confirmation)
		}
	}
	for _, number := range s.publisher.publishNumbers {
		s.emit(event{kind: eventConfirmed, publishNumber: number})
	}
	return s.openPublisher()
}

// reportConfirm emits the event for a confirm. The broker sends the return of a message before its confirm, but select chooses
// randomly among ready channels, so reportConfirm first emits the events for all pending returns.
func (s *session) reportConfirm(confirmation amqp.Confirmation) {
	for pending := len(s.publisher.returns); pending > 0; pending-- {
		if returned, ok := <-s.publisher.returns; ok {
			s.reportReturn(returned)
		}
	}
	if number, ok := s.publisher.publishNumbers[confirmation.DeliveryTag]; ok {
		delete(s.publisher.publishNumbers, confirmation.DeliveryTag)
		s.emit(event{kind: eventConfirmed, publishNumber: number, isAcked: confirmation.Ack})
	}
}

// reportReturn emits the event for a publish that the broker routed to no queue.
func (s *session) reportReturn(returned amqp.Return) {
	if number, ok := returned.Headers[publishNumberHeader].(int64); ok {
		s.emit(event{kind: eventReturned, publishNumber: uint64(number)})
	}
}

// errClosed is the error for a channel or connection that was closed without a reason from the broker.
var errClosed = errors.New("closed")

// closeError returns the reason why a channel or the connection was closed as an error: errClosed if there is none.
func closeError(reason *amqp.Error) error {
	if reason == nil {
		return errClosed
	}
	return reason
}
