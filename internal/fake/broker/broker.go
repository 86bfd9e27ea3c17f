package broker

import "sync"

// Limits of the broker's tables.
const (
	maxNames       = 1024    // of queues, of exchanges, and of binding keys per exchange
	maxMessages    = 4 << 20 // in all queues together
	maxConns       = 256
	maxChannels    = 16       // per connection
	maxOutputBytes = 16 << 20 // waiting to be sent, per connection
	maxBodyBytes   = 1 << 20  // per message
)

// Defaults offered to peers in connection.tune.
const (
	defaultHeartbeatSeconds = 10
	minFrameMax             = 4096 // bytes; the specification's minimum
)

// Broker is the fake broker. Its exported fields must be set before Start.
type Broker struct {
	Heartbeat            uint16 // seconds, offered to peers
	FrameMax             uint32 // bytes, offered to peers
	RedeliveriesAfterAck int    // requeues of each message before its ack takes effect

	mu              sync.Mutex
	changed         *sync.Cond // broadcast on every event
	script          faultScript
	queues          map[string]*queue
	queueOrder      []*queue // in order of declaration, so that dispatch is deterministic
	exchanges       map[string]*exchange
	conns           map[*conn]struct{}
	connsAccepted   int
	messageCount    int // ready and unacked, in all queues
	lastSequence    uint64
	closed          bool
	observer        func(Event)
	eventCounts     map[EventKind]int
	delayedConfirms []func()
	server          *server
}

// New creates a broker that injects the faults. It does not listen before Start. It returns ErrInvalidFault for a fault that
// does not validate.
func New(faults ...Fault) (*Broker, error) {
	for _, fault := range faults {
		if err := fault.Validate(); err != nil {
			return nil, err
		}
	}
	b := &Broker{
		Heartbeat:   defaultHeartbeatSeconds,
		FrameMax:    minFrameMax,
		script:      faultScript{faults, map[FaultPoint]int{}},
		queues:      map[string]*queue{},
		exchanges:   map[string]*exchange{defaultExchange: {kind: exchangeDirect}},
		conns:       map[*conn]struct{}{},
		eventCounts: map[EventKind]int{},
	}
	b.changed = sync.NewCond(&b.mu)
	return b, nil
}
