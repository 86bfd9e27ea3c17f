package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

// publisher is the publishing side of a session. Only the goroutine that runs serve uses it.
type publisher struct {
	channel   *amqp.Channel
	confirms  chan amqp.Confirmation
	returns   chan amqp.Return
	closed    chan *amqp.Error
	published uint64            // messages published on this channel: the delivery tag of the last one's confirm
	numbers   map[uint64]uint64 // publish numbers of the unconfirmed, by the delivery tags of their confirms
}

// openPublisher opens the publishing channel in confirm mode. The Go channels for its notices have the capacity for all that
// can be outstanding, so that the library never blocks on the session while the session blocks on the library.
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

// reopenPublisher opens the publishing channel again after the broker closed it. Unconfirmed publishes are reported as not
// accepted, as it is unknown which of them the broker has accepted.
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

// confirm reports a confirm. The broker sends a return before the confirm of the same message, but select chooses among ready
// channels at random, so the pending returns are reported first.
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

// errClosed is the error of a channel or connection that was closed without a reason from the broker.
var errClosed = errors.New("closed")

// closeError returns the reason for which a channel or the connection was closed.
func closeError(reason *amqp.Error) error {
	if reason == nil {
		return errClosed
	}
	return reason
}
