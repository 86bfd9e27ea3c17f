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
	connectTimeout = 5 * time.Second // until the session is set up
	closeTimeout   = time.Second     // for the broker's close-ok

	maxCommandsPerMessage = 2
	extraCommands         = 64
	maxConsumerCommands   = 64
)

// session is one connection to a broker. Delivery tags and publish numbers are valid on one session only, and commands to a
// session that has ended are dropped.
//
// The session owns its goroutines, which may block on the broker, unlike the loop: run, which becomes serve;
// serveConsumerCommands; one reader for each consumer; and closeWhenAbandoned. All of them end with the connection.
//
// Its command queues never fill, as each unsettled message has at most maxCommandsPerMessage commands in them. Its events are
// passed to the loop in batches.
type session struct {
	config  *operator.AMQP
	name    string // of the instance
	post    func(f func())
	handler sessionHandler

	commands         chan command  // executed by serve
	consumerCommands chan command  // executed by serveConsumerCommands, as they block on the broker and settlements must not wait for them
	abandoned        chan struct{} // closed by abandon
	abandonOnce      sync.Once

	guard      *guard // nil until the connection is open
	connection *amqp.Connection
	consumer   consumer
	publisher  publisher

	mu          sync.Mutex // guards the fields below
	events      []event
	isScheduled bool // deliverEvents was posted to the loop
}

// sessionHandler receives the events of a session and the answers to its messages, on the loop.
type sessionHandler struct {
	events func(*session, []event)
	answer func(s *session, id node.MessageID, answer node.Answer)
}

// consumer is the consuming side of a session. After the set-up only the goroutine that runs serveConsumerCommands uses it.
type consumer struct {
	channel *amqp.Channel
	starts  int      // number of times that consuming was started
	tags    []string // of the running consumers
	readers sync.WaitGroup
}

// openSession starts a session. maxUnsettled bounds the messages that are unsettled at a time.
func openSession(config *operator.AMQP, name, address string, maxUnsettled int, post func(func()), handler sessionHandler) *session {
	s := &session{
		config:           config,
		name:             name,
		post:             post,
		handler:          handler,
		commands:         make(chan command, maxCommandsPerMessage*maxUnsettled+extraCommands),
		consumerCommands: make(chan command, maxConsumerCommands),
		abandoned:        make(chan struct{}),
	}
	go s.run(address)
	return s
}

// run connects, serves until the connection ends, and reports how it ended.
func (s *session) run(address string) {
	failure, err := s.connect(address)
	if err == nil {
		s.emit(event{kind: eventConnected})
		go s.closeWhenAbandoned()
		err = s.serve()
		failure = intake.ConnectionLost
	}
	s.abandon()
	if s.guard != nil {
		s.guard.Close()
	}
	s.emit(event{kind: eventClosed, failure: failure, err: err})
}

// closeWhenAbandoned closes the socket when the session is abandoned, which unblocks its other goroutines.
func (s *session) closeWhenAbandoned() {
	<-s.abandoned
	s.guard.Close()
}

// abandon ends the session without any exchange with the broker. It may be called from any goroutine, and more than once.
func (s *session) abandon() { s.abandonOnce.Do(func() { close(s.abandoned) }) }

// emit queues an event for the loop, which handles all queued events in one batch.
func (s *session) emit(e event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	isFirst := !s.isScheduled
	s.isScheduled = true
	s.mu.Unlock()
	if isFirst {
		s.post(s.deliverEvents)
	}
}

// deliverEvents passes the queued events to the handler. It runs on the loop.
func (s *session) deliverEvents() {
	s.mu.Lock()
	events := s.events
	s.events = nil
	s.isScheduled = false
	s.mu.Unlock()
	s.handler.events(s, events)
}

// submit queues a command. It does not block.
func (s *session) submit(c command) { s.enqueue(s.commands, c) }

// submitConsumer queues a command that may block on the broker. It does not block itself.
func (s *session) submitConsumer(c command) { s.enqueue(s.consumerCommands, c) }

// enqueue queues a command. A full queue would be a defect, which ends the session and does not block the loop.
func (s *session) enqueue(queue chan command, c command) {
	select {
	case queue <- c:
	default:
		s.abandon()
	}
}

// Answer implements node.Responder.
func (s *session) Answer(id node.MessageID, answer node.Answer) { s.handler.answer(s, id, answer) }

// AnswerHealthCheck implements node.Responder. No health check arrives over AMQP.
func (s *session) AnswerHealthCheck(node.MessageID, node.HealthCheckResult) {}
