// The script: which fault is committed when. Counting is per kind of event over the broker's life, so the same
// doings of the peers meet the same faults.

package broker

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is committed at the Nth event of a kind, and at each Every-th one after where that is set.
type Fault struct {
	On    string // deliver, settle, publish, login, consume, cancel, heartbeat
	Nth   int    // 1: the first
	Every int    // 0: once
	Do    string
}

// What can be done at which event.
var faults = map[string][]string{
	"deliver": {"cut-before", "cut-inside", "cut-after", "twice", "reorder", "nonsense", "huge", "endless", "foreign",
		"same-tag", "mute", "stop-reading", "cancel", "channel-error", "restart", "block"},
	"settle":    {"drop", "drop-cut", "cut-after", "restart", "stop-reading"},
	"publish":   {"no-confirm", "late-confirm", "refuse", "channel-error", "cut-before", "cut-after"},
	"login":     {"refuse", "cut", "nonsense", "mute"},
	"consume":   {"channel-error", "cut"},
	"cancel":    {"ignore"},
	"heartbeat": {"mute"},
}

// Check says what is wrong with it.
func (f Fault) Check() error {
	for _, do := range faults[f.On] {
		if do == f.Do && f.Nth > 0 && f.Every >= 0 {
			return nil
		}
	}
	return fmt.Errorf("fault: found %s:%d+%d:%s, expected EVENT:NTH[+EVERY]:FAULT of %v", f.On, f.Nth, f.Every, f.Do, faults)
}

// ParseFault reads EVENT:NTH[+EVERY]:FAULT.
func ParseFault(text string) (f Fault, err error) {
	part := strings.Split(text, ":")
	if len(part) == 3 {
		nth, every, more := strings.Cut(part[1], "+")
		f.On, f.Do = part[0], part[2]
		if f.Nth, err = strconv.Atoi(nth); err == nil && more {
			f.Every, err = strconv.Atoi(every)
		}
	}
	if err != nil || f.Check() != nil {
		return f, fmt.Errorf("fault: found %q, expected EVENT:NTH[+EVERY]:FAULT of %v", text, faults)
	}
	return f, nil
}

type script struct {
	faults []Fault
	counts map[string]int
}

// hit counts an event and tells what is to be done at it; empty: nothing.
func (s *script) hit(on string) string {
	s.counts[on]++
	n := s.counts[on]
	for _, f := range s.faults {
		if f.On == on && (n == f.Nth || f.Every > 0 && n > f.Nth && (n-f.Nth)%f.Every == 0) {
			return f.Do
		}
	}
	return ""
}
