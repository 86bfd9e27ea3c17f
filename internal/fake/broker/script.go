package broker

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FaultPoint is a step of the broker's work at which a fault can be injected.
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

// FaultAction is what an injected fault does.
type FaultAction string

// The fault actions. ParseFault accepts their strings.
const (
	CutBefore       FaultAction = "cut-before"    // close the connection instead of handling the event
	CutInside       FaultAction = "cut-inside"    // send the message with its last frame truncated, then close the connection
	CutAfter        FaultAction = "cut-after"     // handle the event, then close the connection
	Cut             FaultAction = "cut"           // close the connection
	Duplicate       FaultAction = "twice"         // deliver the message twice, with different delivery tags
	Reorder         FaultAction = "reorder"       // swap the message with the next one
	InvalidBytes    FaultAction = "nonsense"      // send bytes that are not AMQP
	OversizedFrame  FaultAction = "huge"          // send a frame header that states a payload of 2 GB
	IncompleteFrame FaultAction = "endless"       // send the beginning of a frame and nothing after it
	UnknownConsumer FaultAction = "foreign"       // deliver to a consumer tag that does not exist
	SameTag         FaultAction = "same-tag"      // deliver the message twice with the same delivery tag
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
	Ignore          FaultAction = "ignore"        // neither handle the method nor reply
)

const noFault FaultAction = ""

// faultActions are the actions that are possible at each point.
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

// ErrInvalidFault is returned for a fault that does not parse, or whose action is not possible at its point.
var ErrInvalidFault = errors.New("broker: invalid fault")

// Fault is an action injected at the Nth event of a point, and at each Every-th event after that. Events are counted per point,
// over the broker's lifetime.
type Fault struct {
	Point  FaultPoint
	Nth    int // from 1
	Every  int // 0 to inject the fault once
	Action FaultAction
}

// Validate returns ErrInvalidFault when the action is not possible at the point, or a count is out of range.
func (f Fault) Validate() error {
	if slices.Contains(faultActions[f.Point], f.Action) && f.Nth > 0 && f.Every >= 0 {
		return nil
	}
	return fmt.Errorf("%w: found %s:%d+%d:%s, expected EVENT:NTH[+EVERY]:FAULT with NTH from 1; faults by event: %v",
		ErrInvalidFault, f.Point, f.Nth, f.Every, f.Action, faultActions)
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
		return f, fmt.Errorf("%w: found %q, expected EVENT:NTH[+EVERY]:FAULT with NTH from 1; faults by event: %v",
			ErrInvalidFault, text, faultActions)
	}
	return f, nil
}

// faultScript decides at which events faults are injected.
type faultScript struct {
	faults      []Fault
	pointCounts map[FaultPoint]int // events so far
}

// next counts an event of a point and returns the action due at this event, or noFault.
func (s *faultScript) next(point FaultPoint) FaultAction {
	s.pointCounts[point]++
	for _, fault := range s.faults {
		if fault.matches(point, s.pointCounts[point]) {
			return fault.Action
		}
	}
	return noFault
}

// nextFault counts an event of a point and returns the action due at it, or noFault. It emits EventFault when a fault is due.
func (b *Broker) nextFault(point FaultPoint) FaultAction {
	action := b.script.next(point)
	if action != noFault {
		b.emit(EventFault, nil)
	}
	return action
}
