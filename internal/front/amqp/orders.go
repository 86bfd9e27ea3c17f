// This file owns what the loop may order of a session.

package amqp

import (
	"errors"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// The orders.

// consume takes messages from all queues, each with that credit; where it does already, anew.
func consume(credit int) order {
	return func(s *session) error {
		if err := s.cancel(); err != nil {
			return err
		}
		s.guard.allow(credit * len(s.told.Queues))
		if err := s.in.Qos(credit, 0, false); err != nil {
			return err
		}
		s.consumers++
		for n, q := range s.told.Queues {
			args := amqp.Table{}
			for _, a := range q.Arguments {
				args[a.Name], _ = a.TypedValue()
			}
			tag := q.ConsumerTag
			if tag == "" {
				tag = s.name
			}
			tag += "-" + strconv.Itoa(n) + "-" + strconv.Itoa(s.consumers) // a cancelled one's last messages must not be taken for the next one's
			from, err := s.in.Consume(q.Name, tag, false, false, false, false, args)
			if err != nil {
				return err
			}
			s.tags = append(s.tags, tag)
			s.readers.Add(1)
			go func() {
				defer s.readers.Done()
				for d := range from {
					s.tell(event{what: delivered, delivery: d, at: time.Now(), queue: n})
				}
			}()
		}
		s.tell(event{what: consuming})
		return nil
	}
}

// pause cancels the consumers; the event comes behind the last message that they brought.
func pause(s *session) error {
	if err := s.cancel(); err != nil {
		return err
	}
	s.tell(event{what: pausing})
	return nil
}

func (s *session) cancel() error {
	for _, tag := range s.tags {
		if err := s.in.Cancel(tag, false); err != nil {
			return err
		}
	}
	s.tags = s.tags[:0]
	s.readers.Wait()
	s.guard.none()
	return nil
}

// ack settles a message, and lets the broker bring another.
func ack(tag uint64) order {
	return func(s *session) error {
		s.guard.allow(1)
		return s.in.Ack(tag, false)
	}
}

// back gives a message to its queue again, or to the broker's own dead-letter exchange.
func back(tag uint64, requeue bool) order {
	return func(s *session) error {
		s.guard.allow(1)
		return s.in.Nack(tag, false, requeue)
	}
}

// publish sends a message, of which confirmed tells under the number. A channel that has just been closed fails it.
func publish(number uint64, exchange, key string, p amqp.Publishing) order {
	return func(s *session) error {
		p.Headers[numberField] = int64(number)
		if err := s.out.Publish(exchange, key, true, false, p); err != nil {
			if s.conn.IsClosed() {
				return err
			}
			s.tell(event{what: confirmed, number: number})
			return nil
		}
		s.published++
		s.numbers[s.published] = number
		return nil
	}
}

// leave closes the connection in order: the broker has taken all acks before it says so.
func leave(s *session) error {
	s.guard.cork(false)
	stuck := time.AfterFunc(closeFor, func() { s.guard.Close() })
	defer stuck.Stop()
	if err := s.conn.Close(); err != nil {
		return err
	}
	return errLeft
}

var errLeft = errors.New("left")
