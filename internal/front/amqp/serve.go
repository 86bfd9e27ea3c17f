// This file owns the goroutine of a session that stands: what comes of the broker, and what is ordered of it.

package amqp

import (
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"
)

// serve carries orders and notices until the connection ends.
func (s *session) serve() error {
	gone := s.conn.NotifyClose(make(chan *amqp.Error, 1))
	inGone := s.in.NotifyClose(make(chan *amqp.Error, 1))
	cancels := s.in.NotifyCancel(make(chan string, mostChannels))
	blocks := s.conn.NotifyBlocked(make(chan amqp.Blocking, 8))
	broken := func(e *amqp.Error) error {
		if e == nil {
			return errors.New("closed")
		}
		return e
	}
	failed := make(chan error, 1)
	go func() {
		for {
			select {
			case <-s.over:
				return
			case do := <-s.steps:
				if err := do(s); err != nil {
					failed <- err
					return
				}
			}
		}
	}()
	for {
		select {
		case <-s.over:
			return errors.New("given up")
		case err := <-failed:
			return err
		case e := <-gone:
			return broken(e)
		case e := <-inGone:
			return broken(e)
		case e := <-s.lost:
			if s.conn.IsClosed() {
				return broken(e)
			}
			s.tell(event{what: publishLost, err: broken(e)})
			for n := len(s.confirms); n > 0; n-- { // what was confirmed before it was closed
				if c, ok := <-s.confirms; ok {
					s.confirmed(c)
				}
			}
			for _, number := range s.numbers { // nothing tells which of the rest the broker took
				s.tell(event{what: confirmed, number: number})
			}
			if err := s.publisher(); err != nil {
				return err
			}
		case _, ok := <-cancels:
			if ok {
				s.tell(event{what: cancelled})
			} else {
				cancels = nil
			}
		case b, ok := <-blocks:
			if ok {
				s.tell(event{what: blocked, good: b.Active})
			} else {
				blocks = nil
			}
		case r, ok := <-s.returns:
			if ok {
				s.unrouted(r)
			} else {
				s.returns = nil
			}
		case c, ok := <-s.confirms:
			if !ok {
				s.confirms = nil
				continue
			}
			s.confirmed(c)
		case o := <-s.orders:
			if err := s.carry(o); err != nil {
				return err
			}
		}
	}
}

// carry does one order and those that wait behind it, and sends what they wrote at once.
func (s *session) carry(o order) error {
	s.guard.cork(true)
	defer s.guard.cork(false)
	for n := len(s.orders); ; n-- {
		if err := o(s); err != nil || n == 0 {
			return err
		}
		o = <-s.orders
	}
}

// confirmed: a return comes before its confirm, but select takes either first.
func (s *session) confirmed(c amqp.Confirmation) {
	for n := len(s.returns); n > 0; n-- {
		if r, ok := <-s.returns; ok {
			s.unrouted(r)
		}
	}
	if number, ok := s.numbers[c.DeliveryTag]; ok {
		delete(s.numbers, c.DeliveryTag)
		s.tell(event{what: confirmed, number: number, good: c.Ack})
	}
}

func (s *session) unrouted(r amqp.Return) {
	if n, ok := r.Headers[numberField].(int64); ok {
		s.tell(event{what: unrouted, number: uint64(n)})
	}
}
