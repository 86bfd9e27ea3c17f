package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

const maxPendingNotices = 8 // of each kind; the library blocks on a full channel

// errAbandoned ends a session that the front has dropped.
var errAbandoned = errors.New("abandoned")

// notices are the channels on which the library reports events of the connection and the consuming channel.
type notices struct {
	connectionClosed chan *amqp.Error
	consumerClosed   chan *amqp.Error
	cancellations    chan string
	blocked          chan amqp.Blocking
}

func (s *session) subscribe() notices {
	return notices{
		connectionClosed: s.connection.NotifyClose(make(chan *amqp.Error, 1)),
		consumerClosed:   s.consumer.channel.NotifyClose(make(chan *amqp.Error, 1)),
		cancellations:    s.consumer.channel.NotifyCancel(make(chan string, maxPendingNotices)),
		blocked:          s.connection.NotifyBlocked(make(chan amqp.Blocking, maxPendingNotices)),
	}
}

// serve executes commands and reports notices until the connection ends, and returns the reason. A channel that the library
// closes is set to nil, so that select never chooses it again.
func (s *session) serve() error {
	notices := s.subscribe()
	failed := make(chan error, 1)
	go s.serveConsumerCommands(failed)
	for {
		select {
		case <-s.abandoned:
			return errAbandoned
		case err := <-failed:
			return err
		case reason := <-notices.connectionClosed:
			return closeError(reason)
		case reason := <-notices.consumerClosed:
			return closeError(reason)
		case reason := <-s.publisher.closed:
			if err := s.reopenPublisher(reason); err != nil {
				return err
			}
		case _, ok := <-notices.cancellations:
			if !ok {
				notices.cancellations = nil
				continue
			}
			s.emit(event{kind: eventCancelled})
		case blocking, ok := <-notices.blocked:
			if !ok {
				notices.blocked = nil
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
			s.confirm(confirmation)
		case c := <-s.commands:
			if err := s.executeBatch(c); err != nil {
				return err
			}
		}
	}
}

// serveConsumerCommands executes the commands that wait for the broker.
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

// executeBatch executes a command and those queued behind it, and sends their output at once.
func (s *session) executeBatch(execute command) error {
	s.guard.cork()
	defer s.guard.uncork()
	for queued := len(s.commands); ; queued-- {
		if err := execute(s); err != nil || queued == 0 {
			return err
		}
		execute = <-s.commands
	}
}
