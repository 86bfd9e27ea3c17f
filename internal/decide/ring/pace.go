// This file owns at what pace a cold backend takes its part. It must never give one more while it suffers.

package ring

import (
	"fmt"
	"time"
)

// Ramp is the terms of a cold backend; parts are of its whole weight.
type Ramp struct {
	First float64       // its part when it comes in, over 0
	Up    float64       // added each Every while it bears what it has
	Back  float64       // it is cut to this much of what it has when it suffers, 0 to 1
	Every time.Duration // between two steps; a step back holds for twice as long
	Lag   time.Duration // of its calls, over which it suffers
	Fails float64       // part of its calls that fail, over which it suffers
}

// Check tells what is wrong with it.
func (r Ramp) Check() error {
	if !(r.First > 0 && r.First <= 1 && r.Up > 0 && r.Back >= 0 && r.Back <= 1 && r.Every > 0) {
		return fmt.Errorf("ramp: found first %g, up %g, back %g, every %v, expected first over 0 to 1, up and every over 0, back 0 to 1",
			r.First, r.Up, r.Back, r.Every)
	}
	return nil
}

// Pace is one backend's ramp. The zero value has not begun.
type Pace struct {
	part  float64
	next  time.Duration
	began bool
}

// Part is what of its weight the backend may have now, by what the fleet has seen of its calls since the last step:
// their lag, and the part that failed. A warm backend that never was cold begins with Warm.
func (p *Pace) Part(now time.Duration, r Ramp, lag time.Duration, fails float64) float64 {
	switch {
	case !p.began:
		p.began, p.part, p.next = true, r.First, now+r.Every
	case now < p.next || p.part >= 1:
	case lag > r.Lag || fails > r.Fails:
		p.part, p.next = max(p.part*r.Back, r.First), now+2*r.Every
	default:
		p.part, p.next = min(p.part+r.Up, 1), now+r.Every
	}
	return p.part
}

// Resumed is a cold backend that another owner has brought to this part.
func Resumed(now time.Duration, r Ramp, part float64) Pace {
	return Pace{began: true, part: min(max(part, r.First), 1), next: now + r.Every}
}

// Warm is a backend that has its whole part, as one has that was there all along.
func Warm() Pace { return Pace{part: 1, began: true} }

// Cold: it was gone for so long that it counted as dead, and begins anew.
func (p *Pace) Cold() { *p = Pace{} }
