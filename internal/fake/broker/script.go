package broker

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FaultPoint is an event at which a fault can be injected.
type FaultPoint string

// The points at which faults can be injected.
const (
	AtDeliver   FaultPoint = "deliver"
	AtSettle    FaultPoint = "settle"
	AtPublish   FaultPoint = "publish"
	AtLogin     FaultPoint = "login"
	AtConsume   FaultPoint = "consume"
	AtCancel    FaultPoint = "cancel"
	AtHeartbeat FaultPoint = "heartbeat"
)

// FaultAction is the fault that is injected at a point.
type FaultAction string

// The faults. Their strings are those of ParseFault.
const (
	CutBefore       FaultAction = "cut-before"    // close the connection before the event
	CutInside       FaultAction = "cut-inside"    // send a truncated frame, then close the connection
	CutAfter        FaultAction = "cut-after"     // close the connection after the event
	Cut             FaultAction = "cut"           // close the connection
	Duplicate       FaultAction = "twice"         // deliver the message twice
	Reorder         FaultAction = "reorder"       // swap the message with the next one
	InvalidBytes    FaultAction = "nonsense"      // send bytes that are no AMQP
	OversizedFrame  FaultAction = "huge"          // send a frame header with a payload size of 2 GB
	IncompleteFrame FaultAction = "endless"       // send a frame whose end never comes
	UnknownConsumer FaultAction = "foreign"       // deliver to a consumer tag that does not exist
	SameTag         FaultAction = "same-tag"      // send two messages with one delivery tag
	StopSending     FaultAction = "mute"          // send nothing more
	StopReading     FaultAction = "stop-reading"  // read nothing more, until Resume
	Cancel          FaultAction = "cancel"        // cancel the consumer
	ChannelError    FaultAction = "channel-error" // close the channel with an error
	RestartBroker   FaultAction = "restart"       // close all connections
	Block           FaultAction = "block"         // send connection.blocked
	DropAck         FaultAction = "drop"          // ignore the ack
	DropAckAndCut   FaultAction = "drop-cut"      // ignore the ack and close the connection
	NoConfirm       FaultAction = "no-confirm"    // never confirm the message
	LateConfirm     FaultAction = "late-confirm"  // confirm the message at Resume
	Refuse          FaultAction = "refuse"        // nack the message, or refuse the login
	Ignore          FaultAction = "ignore"        // neither act nor answer
)

const noFault FaultAction = ""

// faultActions are the faults that are possible at each point.
var faultActions = map[FaultPoint][]FaultAction{
	AtDeliver: {CutBefore, CutInside, CutAfter, Duplicate, Reorder, InvalidBytes, OversizedFrame, IncompleteFrame, UnknownConsumer,
		SameTag, StopSending, StopReading, Cancel, ChannelError, RestartBroker, Block},
	AtSettle:    {DropAck, DropAckAndCut, CutAfter, RestartBroker, StopReading},
	AtPublish:   {NoConfirm, LateConfirm, Refuse, ChannelError, CutBefore, CutAfter},
	AtLogin:     {Refuse, Cut, InvalidBytes, StopSending},
	AtConsume:   {ChannelError, Cut},
	AtCancel:    {Ignore},
	AtHeartbeat: {StopSending},
}

// ErrInvalidFault is the error of a fault that cannot be injected at its point, or does not parse.
var ErrInvalidFault = errors.New("invalid fault")

// Fault is an action injected at the Nth event of a point, and at each Every-th one after it. Events are counted over the
// broker's life.
type Fault struct {
	Point  FaultPoint
	Nth    int // from 1
	Every  int // 0 for a single injection
	Action FaultAction
}

// Validate returns ErrInvalidFault when the fault cannot be injected.
func (f Fault) Validate() error {
	if slices.Contains(faultActions[f.Point], f.Action) && f.Nth > 0 && f.Every >= 0 {
		return nil
	}
	return fmt.Errorf("%w: found %s:%d+%d:%s, expected EVENT:NTH[+EVERY]:FAULT of %v", ErrInvalidFault, f.Point, f.Nth, f.Every, f.Action, faultActions)
}

// matches reports whether the fault is due at the n-th event of its point.
func (f Fault) matches(point FaultPoint, n int) bool {
	if f.Point != point || n < f.Nth {
		return false
	}
	if f.Every == 0 {
		return n == f.Nth
	}
	return (n-f.Nth)%f.Every == 0
}

// ParseFault parses EVENT:NTH[+EVERY]:FAULT.
func ParseFault(text string) (f Fault, err error) {
	parts := strings.Split(text, ":")
	if len(parts) == 3 {
		nth, every, hasEvery := strings.Cut(parts[1], "+")
		f.Point, f.Action = FaultPoint(parts[0]), FaultAction(parts[2])
		if f.Nth, err = strconv.Atoi(nth); err == nil && hasEvery {
			f.Every, err = strconv.Atoi(every)
		}
	}
	if err != nil || f.Validate() != nil {
		return f, fmt.Errorf("%w: found %q, expected EVENT:NTH[+EVERY]:FAULT of %v", ErrInvalidFault, text, faultActions)
	}
	return f, nil
}

// faultScript decides which fault is injected when.
type faultScript struct {
	faults      []Fault
	pointCounts map[FaultPoint]int
}

// next counts an event and returns the action due at it, or noFault.
func (s *faultScript) next(point FaultPoint) FaultAction {
	s.pointCounts[point]++
	for _, fault := range s.faults {
		if fault.matches(point, s.pointCounts[point]) {
			return fault.Action
		}
	}
	return noFault
}

// faultAt counts an event of the script, and emits EventFault when a fault is due.
func (b *Broker) faultAt(point FaultPoint) FaultAction {
	action := b.script.next(point)
	if action != noFault {
		b.emit(EventFault, nil)
	}
	return action
}
