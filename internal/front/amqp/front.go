package amqp

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

const (
	loadCheckInterval = 100 * time.Millisecond

	// extraUnsettled is how many messages may be unsettled beyond the credit in force and the one before it.
	extraUnsettled = 64
)

// Admission accepts requests.
type Admission interface {
	Admit(responder node.Responder, id node.MessageID, request node.Request) error
	CallerGone(responder node.Responder)
	Load() node.Load
}

// Loop is the event loop on which a Front lives.
type Loop interface {
	Post(f func())                         // runs f on the loop; callable from any goroutine
	After(wait time.Duration, what func()) // runs what on the loop, later
}

// Front consumes messages for one instance. All methods must be called on the loop.
type Front struct {
	admission   Admission
	loop        Loop
	config      *operator.AMQP
	name        string // of the instance
	idempotency func(class string) settings.Idempotency
	log         *zap.Logger

	controller    *intake.Controller
	start         time.Time
	loadCheckedAt time.Time
	tickAt        time.Duration // the earliest pending tick

	session          *session // nil while disconnected
	sessionCount     int
	isConnected      bool // the session is set up
	consumersStopped bool // the consumers are cancelled and have delivered their last messages
	draining         bool
	closing          bool // the session has been told to close

	// requestPrefix begins the ids of this process's requests: a runtime may know those of an earlier one.
	requestPrefix string
	unsettled     map[uint64]*message // by delivery tag
	unconfirmed   map[uint64]*message // by publish number
	publishNumber uint64
	bounced       []*message // requeued by this instance while it drains, and delivered to it again
	counts        messageCounts
}

// New returns a front for the operator's settings. It connects once the instance is ready. idempotency returns that of a
// class; seed drives the backoff and the ids of requests.
func New(admission Admission, loop Loop, config *operator.AMQP, name string, seed uint64,
	idempotency func(class string) settings.Idempotency, log *zap.Logger) *Front {
	f := &Front{admission: admission, loop: loop, config: config, name: name, idempotency: idempotency, log: log, start: time.Now(),
		requestPrefix: requestPrefix(seed, time.Now()), unconfirmed: map[uint64]*message{}}
	f.controller = intake.New(f, seed, intake.Config{
		Brokers:         len(config.Brokers),
		MinCredit:       config.MinCredit,
		MaxCredit:       config.MaxCredit,
		ResponseTimeout: time.Duration(config.ConfirmTimeoutSeconds) * time.Second,
	})
	return f
}

// requestPrefix is unlikely to repeat in another process or after a restart.
func requestPrefix(seed uint64, now time.Time) string {
	const seedMask, timeMask, base = 0xffffffff, 0xffffff, 36
	return "q" + strconv.FormatUint(seed&seedMask, base) + "-" + strconv.FormatInt(now.UnixMilli()&timeMask, base) + "-"
}

// now is the time since the start, as the controller counts it.
func (f *Front) now() time.Duration { return time.Since(f.start) }

// maxUnsettled bounds the messages that are received and not settled.
func (f *Front) maxUnsettled() int {
	return 2*f.config.MaxCredit*len(f.config.Queues) + extraUnsettled
}

// SetIdleTimeout implements node.Front. It does nothing: connections to a broker are kept.
func (f *Front) SetIdleTimeout(time.Duration) {}

// Drain implements node.Front. It stops consuming at once; the connection is closed when all messages are settled.
func (f *Front) Drain() {
	f.draining = true
	f.controller.Drain(f.now())
	if f.session != nil && !f.isConnected { // it has delivered nothing
		f.dropSession(f.session)
	}
	f.closeIfDrained()
}

// HasPending implements node.Front.
func (f *Front) HasPending() bool { return f.session != nil && f.draining }

// Sweep implements node.Front. It reports the load of the instance to the controller.
func (f *Front) Sweep(now time.Time) {
	if now.Sub(f.loadCheckedAt) < loadCheckInterval {
		return
	}
	f.loadCheckedAt = now
	load := f.admission.Load()
	f.controller.UpdateInstance(f.now(), intake.InstanceState{Ready: load.Ready, Items: load.Requests, Capacity: load.Capacity})
}

// dropSession forgets a session and its messages, which the broker delivers again elsewhere. Requests that are being
// processed go on if they are idempotent, and their results are cached.
func (f *Front) dropSession(s *session) {
	s.abandon()
	f.session = nil
	f.counts.callerGone += uint64(len(f.unsettled))
	f.unsettled = nil
	f.bounced = nil
	clear(f.unconfirmed)
	f.admission.CallerGone(s)
	if f.draining {
		f.log.Info("amqp: drained", zap.Object("messages", &f.counts))
	}
}

// closeIfDrained closes the connection of a draining instance once all messages are settled.
func (f *Front) closeIfDrained() {
	if f.draining && f.session != nil && f.consumersStopped && len(f.unsettled) == 0 && !f.closing {
		f.closing = true
		f.session.submit(closeConnection)
	}
}
