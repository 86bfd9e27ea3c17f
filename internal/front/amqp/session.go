// A session is one connection to a broker: this file owns its goroutines, which alone may wait for it. What comes is
// gathered and handed to the loop in batches; what the loop wants is put into a queue that never fills, as each
// unsettled message has at most two orders in it. Delivery tags and publish numbers belong to the session: an order of
// one that is over goes nowhere. It must never decide, nor touch anything of the loop's.

package amqp

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
	"thymechute/internal/operator"
)

const (
	dialFor  = 5 * time.Second // the whole way until it stands
	closeFor = time.Second     // the broker may take for its close-ok
)

// order is one thing for the session to do.
type order func(*session) error

// event is one thing that happened on a session, for the loop.
type event struct {
	what     what
	delivery amqp.Delivery
	at       time.Time
	queue    int
	number   uint64 // of a publish
	good     bool
	far      intake.Far
	err      error
}

type what uint8

const (
	delivered what = iota
	confirmed
	unrouted
	standing // it is up, and all names are there
	consuming
	pausing
	blocked
	cancelled
	publishLost // the broker closed the channel that publishes; it is opened again
	closed
)

type session struct {
	told     *operator.AMQP
	name     string
	bound    int            // messages that may be unsettled
	hand     func(f func()) // on to the loop
	taken    func([]event)  // on the loop
	answered func(*session, string, node.Answer)
	orders   chan order
	steps    chan order    // consume and pause, which wait for the broker: acks must not stand behind them
	over     chan struct{} // closed when the loop wants no more of it
	end      sync.Once

	guard     *guard
	conn      *amqp.Connection
	in, out   *amqp.Channel // consumes, publishes
	consumers int           // of the steps' goroutine: how often it has consumed
	tags      []string      // as well
	readers   sync.WaitGroup
	confirms  chan amqp.Confirmation
	returns   chan amqp.Return
	lost      chan *amqp.Error // the publishing channel
	published uint64           // on that channel
	numbers   map[uint64]uint64

	mu     sync.Mutex
	events []event
	queued bool
}

// open starts one; bound is how many messages may be unsettled at a time.
func open(told *operator.AMQP, name, address string, bound int, hand func(func()), taken func([]event),
	answered func(*session, string, node.Answer)) *session {
	s := &session{told: told, name: name, bound: bound, hand: hand, taken: taken, answered: answered, orders: make(chan order, 2*bound+64), steps: make(chan order, 64),
		over: make(chan struct{}), numbers: map[uint64]uint64{}}
	go s.live(address)
	return s
}

// tell hands an event to the loop, together with what else came meanwhile.
func (s *session) tell(e event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	first := !s.queued
	s.queued = true
	s.mu.Unlock()
	if first {
		s.hand(func() {
			s.mu.Lock()
			events := s.events
			s.events, s.queued = nil, false
			s.mu.Unlock()
			s.taken(events)
		})
	}
}

// hangup ends it without waiting for the broker. It may be called from any goroutine, and more than once.
func (s *session) hangup() { s.end.Do(func() { close(s.over) }) }

// put gives an order, and step one that waits for the broker; an order for a session that is over is dropped. They
// never wait themselves.
func (s *session) put(do order) { s.queue(s.orders, do) }

func (s *session) step(do order) { s.queue(s.steps, do) }

func (s *session) queue(to chan order, do order) {
	select {
	case to <- do:
	default: // can't be, by the bound; a defect must cost the connection, not the loop
		s.hangup()
	}
}

func (s *session) live(address string) {
	far, err := s.connect(address)
	if err == nil {
		s.tell(event{what: standing})
		go func() { // whatever the session's goroutine stands at
			<-s.over
			s.guard.Close()
		}()
		err = s.serve()
		far = intake.Broken
	}
	s.hangup()
	if s.guard != nil {
		s.guard.Close()
	}
	s.tell(event{what: closed, far: far, err: err})
}

// connect brings it up: connection, channels, and all names that it will need.
func (s *session) connect(address string) (intake.Far, error) {
	raw, err := net.DialTimeout("tcp", address, dialFor)
	if err != nil {
		return intake.Unreached, err
	}
	if s.told.Secure != nil {
		secure := s.told.Secure.Clone()
		if secure.ServerName == "" {
			secure.ServerName, _, _ = net.SplitHostPort(address)
		}
		raw = tls.Client(raw, secure)
	}
	s.guard = newGuard(raw, s.told.LargestBody, time.Duration(s.told.ConfirmS)*time.Second)
	stuck := time.AfterFunc(dialFor, func() { raw.Close() })
	defer stuck.Stop()
	s.conn, err = amqp.Open(s.guard, amqp.Config{Vhost: s.told.Login.Vhost, ChannelMax: mostChannels,
		FrameSize: mostFrame, Heartbeat: time.Duration(s.told.HeartbeatS) * time.Second, Locale: "en_US",
		SASL:       []amqp.Authentication{&amqp.PlainAuth{Username: s.told.User, Password: s.told.Password}},
		Properties: amqp.Table{"product": "thymechute", "connection_name": s.name}})
	if err != nil {
		if far := farOf(err); s.guard.wasRefused() {
			return far, err
		}
		return intake.Unreached, fmt.Errorf("at the login: %v", err)
	}
	if s.in, err = s.conn.Channel(); err == nil {
		err = s.check()
	}
	if err == nil {
		err = s.publisher()
	}
	if err != nil {
		return farOf(err), err
	}
	return 0, nil
}

// farOf: what the broker itself refuses it will refuse again.
func farOf(err error) intake.Far {
	var e *amqp.Error
	if errors.As(err, &e) {
		switch e.Code {
		case amqp.AccessRefused, amqp.NotFound, amqp.NotAllowed, amqp.ResourceLocked, amqp.PreconditionFailed:
			return intake.Refused
		}
	}
	return intake.Unreached
}

// check asks for the names on a channel of its own: a missing one closes the channel that asks.
func (s *session) check() error {
	ch, err := s.conn.Channel()
	if err != nil {
		return err
	}
	defer ch.Close()
	for _, q := range s.told.Queues {
		if _, err := ch.QueueDeclarePassive(q.Name, true, false, false, false, nil); err != nil {
			return fmt.Errorf("queue %s: %w", q.Name, err)
		}
		if err := ch.ExchangeDeclarePassive(q.DeadLetter, "direct", true, false, false, false, nil); err != nil {
			return fmt.Errorf("exchange %s: %w", q.DeadLetter, err)
		}
	}
	return nil
}

// publisher opens the channel that publishes. Its lists of notices hold as many as can be out, so that the library
// never waits for this session while this one waits for the library.
func (s *session) publisher() (err error) {
	if s.out, err = s.conn.Channel(); err != nil {
		return err
	}
	if err = s.out.Confirm(false); err != nil {
		return err
	}
	s.published, s.numbers = 0, map[uint64]uint64{}
	s.confirms = s.out.NotifyPublish(make(chan amqp.Confirmation, cap(s.orders)))
	s.returns = s.out.NotifyReturn(make(chan amqp.Return, cap(s.orders)))
	s.lost = s.out.NotifyClose(make(chan *amqp.Error, 1))
	return nil
}

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
				args[a.Name], _ = a.Typed()
			}
			tag := q.Tag
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
