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
	connectTimeout = 5 * time.Second // for dialling, and again for login and opening the channels
	closeTimeout   = time.Second     // for the broker's reply to connection.close

	maxCommandsPerMessage = 2 // a dead letter and the reply to its caller; the settlement follows once they are executed
	extraCommands         = 64
	maxConsumerCommands   = 64
)

// session is one connection to a broker. Delivery tags and publish numbers are valid on one session only. Commands for a
// session that has ended are dropped.
//
// The session has goroutines that, unlike the loop, may block on the broker: run, which calls serve; serveConsumerCommands;
// one reader for each consumer; and closeWhenAbandoned. All of them end with the connection.
//
// The command queues never fill, because they hold at most maxCommandsPerMessage commands for each unsettled message. Events
// are passed to the loop in batches.
type session struct {
	config  *operator.AMQP
	name    string // of the instance
	post    func(f func())
	handler sessionHandler

	commands         chan command  // executed by serve
	consumerCommands chan command  // executed by serveConsumerCommands: they block on the broker, and settlements must not wait
	abandoned        chan struct{} // closed by abandon
	abandonOnce      sync.Once

	socket     *checkedConn // nil until dialled
	connection *amqp.Connection
	consumer   consumer
	publisher  publisher

	mu               sync.Mutex // protects the fields below
	events           []event
	isDispatchPosted bool // dispatchEvents was posted to the loop and has not run
}

// sessionHandler holds the callbacks for a session's events and for the answers to its messages. They run on the loop.
type sessionHandler struct {
	events func(*session, []event)
	answer func(s *session, id node.MessageID, answer node.Answer)
}

// consumer is the consuming side of a session. Once the session is connected, the serveConsumerCommands goroutine owns it.
type consumer struct {
	channel    *amqp.Channel
	startCount int      // how often the consumers were started
	tags       []string // consumer tags of the active consumers
	readers    sync.WaitGroup
}

// openSession starts a session with the broker at the address. maxUnsettled is the maximum number of unsettled messages.
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

// run connects, serves until the connection ends, and emits eventClosed with the cause.
func (s *session) run(address string) {
	failure, err := s.connect(address)
	if err == nil {
		s.emit(event{kind: eventConnected})
		go s.closeWhenAbandoned()
		err = s.serve()
		failure = intake.ConnectionLost
	}
	s.abandon()
	if s.socket != nil {
		s.socket.Close()
	}
	s.emit(event{kind: eventClosed, failure: failure, err: err})
}

// closeWhenAbandoned closes the socket when the session is abandoned, which unblocks the other goroutines.
func (s *session) closeWhenAbandoned() {
	<-s.abandoned
	s.socket.Close()
}

// abandon ends the session without notifying the broker. It may be called from any goroutine, and more than once.
func (s *session) abandon() { s.abandonOnce.Do(func() { close(s.abandoned) }) }

// emit queues an event for the loop, which handles all queued events in one batch. It may be called from any goroutine.
func (s *session) emit(e event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	isFirst := !s.isDispatchPosted
	s.isDispatchPosted = true
	s.mu.Unlock()
	if isFirst {
		s.post(s.dispatchEvents)
	}
}

// dispatchEvents passes the queued events to the handler. It runs on the loop.
func (s *session) dispatchEvents() {
	s.mu.Lock()
	events := s.events
	s.events = nil
	s.isDispatchPosted = false
	s.mu.Unlock()
	s.handler.events(s, events)
}

// submit queues a command for serve. It does not block.
func (s *session) submit(c command) { s.enqueue(s.commands, c) }

// submitConsumer queues a command for serveConsumerCommands, where it may block on the broker. submitConsumer does not block.
func (s *session) submitConsumer(c command) { s.enqueue(s.consumerCommands, c) }

// enqueue queues a command. A full queue is a bug; enqueue then ends the session, because it must not block the loop.
func (s *session) enqueue(queue chan command, c command) {
	select {
	case queue <- c:
	default:
		s.abandon()
	}
}

// Answer implements node.Responder.
func (s *session) Answer(id node.MessageID, answer node.Answer) { s.handler.answer(s, id, answer) }

// AnswerHealthCheck implements node.Responder. It is never called, because no health checks arrive over AMQP.
func (s *session) AnswerHealthCheck(node.MessageID, node.HealthCheckResult) {}
