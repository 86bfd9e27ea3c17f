package broker

import "sync"

// Bounds of the broker's tables.
const (
	maxNames       = 1024    // queues, exchanges, and binding keys of an exchange, each
	maxMessages    = 4 << 20 // in all queues together
	maxConns       = 256
	maxChannels    = 16       // of a connection
	maxOutputBytes = 16 << 20 // unsent, of a connection
	maxBodyBytes   = 1 << 20  // of a message
)

// The defaults that are offered to peers.
const (
	defaultHeartbeatSeconds = 10
	minFrameMax             = 4096 // bytes, by the specification
)

// Broker is the fake broker. Its exported fields are set before Start.
type Broker struct {
	Heartbeat            uint16 // seconds, offered to peers
	FrameMax             uint32 // bytes, offered to peers
	RedeliveriesAfterAck int    // how often each message is delivered again although it was acked

	mu              sync.Mutex
	changed         *sync.Cond // broadcast with every event
	script          faultScript
	queues          map[string]*queue
	queueOrder      []*queue // in order of declaration, for a deterministic dispatch
	exchanges       map[string]*exchange
	conns           map[*conn]struct{}
	connsAccepted   int
	messageCount    int // ready and unacked
	lastSequence    uint64
	closed          bool
	observer        func(Event)
	eventCounts     map[EventKind]int
	delayedConfirms []func()
	server          *server
}

// New creates a broker that injects these faults; it listens once Start is called. It returns ErrInvalidFault.
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
