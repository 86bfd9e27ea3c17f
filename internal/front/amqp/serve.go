package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

// maxPendingNotifications is the capacity of a notification channel. The library blocks while one is full.
const maxPendingNotifications = 8

// errAbandoned is the error with which serve ends after the session was abandoned.
var errAbandoned = errors.New("abandoned")

// notifications holds the Go channels on which the library reports events of the connection and the consuming channel.
type notifications struct {
	connectionClosed chan *amqp.Error
	consumerClosed   chan *amqp.Error
	cancellations    chan string
	blocked          chan amqp.Blocking
}

func (s *session) subscribe() notifications {
	return notifications{
		connectionClosed: s.connection.NotifyClose(make(chan *amqp.Error, 1)),
		consumerClosed:   s.consumer.channel.NotifyClose(make(chan *amqp.Error, 1)),
		cancellations:    s.consumer.channel.NotifyCancel(make(chan string, maxPendingNotifications)),
		blocked:          s.connection.NotifyBlocked(make(chan amqp.Blocking, maxPendingNotifications)),
	}
}

// serve executes commands and emits an event for each notification until the connection ends. It returns the cause. A Go channel
// that the library closes is set to nil so that select ignores it.
func (s *session) serve() error {
	notifications := s.subscribe()
	failed := make(chan error, 1)
	go s.serveConsumerCommands(failed)
	for {
		select {
		case <-s.abandoned:
			return errAbandoned
		case err := <-failed:
			return err
		case reason := <-notifications.connectionClosed:
			return closeError(reason)
		case reason := <-notifications.consumerClosed:
			return closeError(reason)
		case reason := <-s.publisher.closed:
			if err := s.reopenPublisher(reason); err != nil {
				return err
			}
		case _, ok := <-notifications.cancellations:
			if !ok {
				notifications.cancellations = nil
				continue
			}
			s.emit(event{kind: eventCancelled})
		case blocking, ok := <-notifications.blocked:
			if !ok {
				notifications.blocked = nil
				continue
			}
			s.emit(event{kind: eventBlocked, isBlocked: blocking.Active})
		case returned, ok := <-s.publisher.returns:
			if !ok {
				s.publisher.returns = nil
				continue
			}
			s.reportReturn(returned)
		case confirmation, ok := <-s.publisher.confirms:
			if !ok {
				s.publisher.confirms = nil
				continue
			}
			s.reportConfirm(confirmation)
		case c := <-s.commands:
			if err := s.executeBatch(c); err != nil {
				return err
			}
		}
	}
}

// serveConsumerCommands executes the commands that block on the broker. It ends at the first error, which it sends to failed.
func (s *session) serveConsumerCommands(failed chan<- error) {
	for {
		select {
		case <-s.abandoned:
			return
		case execute := <-s.consumerCommands:
			if err := execute(s); err != nil {
				failed <- err
				return
			}
		}
	}
}

// executeBatch executes a command and those already queued behind it, and sends their output in one batch.
func (s *session) executeBatch(execute command) error {
	s.socket.cork()
	defer s.socket.uncork()
	for queued := len(s.commands); ; queued-- {
		if err := execute(s); err != nil || queued == 0 {
			return err
		}
		execute = <-s.commands
	}
}
