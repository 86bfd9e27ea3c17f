// A session is one connection to a broker: this file owns its goroutines, which alone may wait for it. What comes is
// gathered and handed to the loop in batches; what the loop wants is put into a queue that never fills, as each
// unsettled message has at most two orders in it. Delivery tags and publish numbers belong to the session: an order of
// one that is over goes nowhere. It must never decide, nor touch anything of the loop's.

package amqp

import (
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
	answered func(*session, node.MessageID, node.Answer)
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
	answered func(*session, node.MessageID, node.Answer)) *session {
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
