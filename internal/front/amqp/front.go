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

	// extraUnsettled is how many messages may be unsettled beyond the sum of the current and the previous credit.
	extraUnsettled = 64
)

// Admission is the instance that decides on the requests; node.Instance implements it.
type Admission interface {
	// Admit takes a request; its answer goes to the responder under the id. After an error no answer follows.
	Admit(responder node.Responder, id node.MessageID, request node.Request) error
	// CallerGone reports that no answer to the responder's requests can be delivered any more.
	CallerGone(responder node.Responder)
	// Load returns the instance's load and capacity, and whether it is ready.
	Load() node.Load
}

// Loop is the event loop on which a Front runs.
type Loop interface {
	// Post runs the task on the loop. It may be called from any goroutine.
	Post(task func())
	// After runs the task on the loop after the delay. It may be called from any goroutine.
	After(delay time.Duration, task func())
}

// Front consumes messages for one instance. Its methods must be called on the loop and do not block.
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
	nextTickAt    time.Duration // time of the earliest scheduled controller tick

	session          *session // nil while disconnected
	sessionCount     int
	isConnected      bool // the session has logged in and opened its channels
	consumersStopped bool // no consumer is active and all deliveries have been handled
	draining         bool
	closeSubmitted   bool // closeConnection was submitted to the session

	// requestPrefix starts the id of each request of this process. A runtime may still execute requests of an earlier process,
	// so ids must differ between processes.
	requestPrefix string
	unsettled     map[uint64]*message // by delivery tag
	unconfirmed   map[uint64]*message // by publish number
	publishNumber uint64
	endings       *endingTable
	loopedBack    []*message // messages that this instance requeued while draining and that were delivered to it again
	counts        messageCounts
}

// New returns a front with the operator's settings. It connects once the instance is ready. name is the name of the instance,
// idempotency returns the idempotency of a class, and seed determines the backoff jitter and is part of the request ids.
func New(admission Admission, loop Loop, config *operator.AMQP, name string, seed uint64,
	idempotency func(class string) settings.Idempotency, log *zap.Logger) *Front {
	f := &Front{
		admission:     admission,
		loop:          loop,
		config:        config,
		name:          name,
		idempotency:   idempotency,
		log:           log,
		start:         time.Now(),
		requestPrefix: requestPrefix(seed, time.Now()),
		unconfirmed:   map[uint64]*message{},
	}
	f.endings = newEndingTable(f.maxUnsettled())
	f.controller = intake.New(f, seed, intake.Config{
		Brokers:         len(config.Brokers),
		MinCredit:       config.MinCredit,
		MaxCredit:       config.MaxCredit,
		ResponseTimeout: time.Duration(config.ConfirmTimeoutSeconds) * time.Second,
	})
	return f
}

// requestPrefix returns a prefix that another process, or this one after a restart, is unlikely to use.
func requestPrefix(seed uint64, now time.Time) string {
	const (
		seedMask = 0xffffffff
		timeMask = 0xffffff
		base     = 36
	)
	return "q" + strconv.FormatUint(seed&seedMask, base) + "-" + strconv.FormatInt(now.UnixMilli()&timeMask, base) + "-"
}

// now returns the time since the front was created, which the controller uses as its clock.
func (f *Front) now() time.Duration { return time.Since(f.start) }

// maxUnsettled returns the maximum number of messages that are received and not settled.
func (f *Front) maxUnsettled() int {
	return 2*f.config.MaxCredit*len(f.config.Queues) + extraUnsettled
}

// SetIdleTimeout implements node.Front. It does nothing because broker connections stay open while idle.
func (f *Front) SetIdleTimeout(time.Duration) {}

// Drain implements node.Front. It stops consuming at once and closes the connection when all messages are settled.
func (f *Front) Drain() {
	f.draining = true
	f.controller.Drain(f.now())
	if f.session != nil && !f.isConnected { // nothing was delivered on it yet
		f.dropSession(f.session)
	}
	f.closeIfDrained()
}

// HasPending implements node.Front. It reports whether draining is unfinished.
func (f *Front) HasPending() bool { return f.session != nil && f.draining }

// Sweep implements node.Front. It reports the load of the instance to the controller, at most every loadCheckInterval.
func (f *Front) Sweep(now time.Time) {
	if now.Sub(f.loadCheckedAt) < loadCheckInterval {
		return
	}
	f.loadCheckedAt = now
	load := f.admission.Load()
	f.controller.UpdateInstance(f.now(), intake.InstanceState{Ready: load.Ready, Requests: load.Requests, Capacity: load.Capacity})
}

// dropSession ends a session and forgets its messages, which the broker will redeliver. Runs of idempotent requests continue,
// and their results are cached for the redelivery. Of messages that have ended, the endings are remembered.
func (f *Front) dropSession(s *session) {
	s.abandon()
	for _, m := range f.unsettled {
		f.recordEnding(m, false)
	}
	f.session = nil
	f.counts.callerGone += uint64(len(f.unsettled))
	f.unsettled = nil
	f.loopedBack = nil
	clear(f.unconfirmed)
	f.admission.CallerGone(s)
	if f.draining {
		f.log.Info("amqp: drained", zap.Object("messages", &f.counts))
	}
}

// closeIfDrained closes the connection of a draining instance once its consumers have stopped and all messages are settled.
func (f *Front) closeIfDrained() {
	if f.draining && f.session != nil && f.consumersStopped && len(f.unsettled) == 0 && !f.closeSubmitted {
		f.closeSubmitted = true
		f.session.submit(closeConnection)
	}
}
