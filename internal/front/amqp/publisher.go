package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

// publisher is the publishing side of a session. It belongs to the goroutine of serve.
type publisher struct {
	channel   *amqp.Channel
	confirms  chan amqp.Confirmation
	returns   chan amqp.Return
	closed    chan *amqp.Error
	published uint64            // messages published on this channel: the delivery tag of the last one's confirm
	numbers   map[uint64]uint64 // publish numbers of the unconfirmed, by the delivery tags of their confirms
}

// openPublisher opens the channel that publishes, with confirms. The channels of its notices hold as many as can be
// outstanding, so that the library never waits for the session while the session waits for the library.
func (s *session) openPublisher() error {
	channel, err := s.connection.Channel()
	if err != nil {
		return err
	}
	if err := channel.Confirm(false); err != nil {
		return err
	}
	s.publisher = publisher{
		channel:  channel,
		confirms: channel.NotifyPublish(make(chan amqp.Confirmation, cap(s.commands))),
		returns:  channel.NotifyReturn(make(chan amqp.Return, cap(s.commands))),
		closed:   channel.NotifyClose(make(chan *amqp.Error, 1)),
		numbers:  map[uint64]uint64{},
	}
	return nil
}

// reopenPublisher opens the publishing channel again after the broker closed it. What was published and not confirmed
// counts as not confirmed, as nothing tells which of it the broker has accepted.
func (s *session) reopenPublisher(reason *amqp.Error) error {
	if s.connection.IsClosed() {
		return closeError(reason)
	}
	s.emit(event{kind: eventPublisherClosed, err: closeError(reason)})
	for pending := len(s.publisher.confirms); pending > 0; pending-- {
		if confirmation, ok := <-s.publisher.confirms; ok {
			s.confirm(confirmation)
		}
	}
	for _, number := range s.publisher.numbers {
		s.emit(event{kind: eventConfirmed, publishNumber: number})
	}
	return s.openPublisher()
}

// confirm reports a confirm. A return is sent before the confirm of the same message, but select takes either first, so
// the pending returns are reported before.
func (s *session) confirm(confirmation amqp.Confirmation) {
	for pending := len(s.publisher.returns); pending > 0; pending-- {
		if returned, ok := <-s.publisher.returns; ok {
			s.reportReturn(returned)
		}
	}
	if number, ok := s.publisher.numbers[confirmation.DeliveryTag]; ok {
		delete(s.publisher.numbers, confirmation.DeliveryTag)
		s.emit(event{kind: eventConfirmed, publishNumber: number, isAcked: confirmation.Ack})
	}
}

func (s *session) reportReturn(returned amqp.Return) {
	if number, ok := returned.Headers[publishNumberHeader].(int64); ok {
		s.emit(event{kind: eventReturned, publishNumber: uint64(number)})
	}
}

// errClosed is the reason of an end for which the broker gave none.
var errClosed = errors.New("closed")

// closeError returns the reason for which a channel or the connection was closed.
func closeError(reason *amqp.Error) error {
	if reason == nil {
		return errClosed
	}
	return reason
}
