// Package intake decides how much work is taken from a message broker, and when and whence: the credit to ask for,
// when to pause and resume, which broker to connect to next, and when a connection that says nothing is given up.
// It may only leave messages with the broker; whether one that was read runs, waits or is turned back is the
// module's alone. It does no I/O, reads no clock and starts nothing: one method for each thing that happens, and a
// Host that acts. It must never consume while it pauses or is not connected, nor dial twice at a time. Its one table
// is the brokers, as many as were told. Design: docs/amqp.md.
package intake

import (
	"fmt"
	"time"

	"thymechute/internal/decide/random"
)

const (
	period       = 500 * time.Millisecond // between two judgements of the credit
	changeGap    = time.Second            // between two changes of it: each costs the broker a new consumer
	resumeGap    = 100 * time.Millisecond // a pause lasts so long at least
	mostPause    = 5 * time.Second        // that one answer's advice, or one failure to publish, may bring
	cancelledFor = time.Second            // a broker ended a consumer
	leastWait    = 50 * time.Millisecond  // before a broker is dialled again: doubled with each failure
	mostWait     = 10 * time.Second
	refusedFor   = 30 * time.Second // who refuses a login does so again: nobody mends that within seconds
	goodTime     = 10 * time.Second // a connection that stood so long, or
	goodEnds     = 100              // on which so many messages ended, forgives its broker
	fewQueued    = 3.0              // messages that stand here for nothing: under it more are asked for
	manyQueued   = 8.0              // over it fewer
	grow         = 1.5              // steps of the credit
	shrink       = 0.75
	halve        = 0.5 // where over turnedMany of what ended was turned back
	turnedMany   = 0.1
	baseFor      = 10 * time.Second // the least time in hand is sought anew
	roomShort    = 0.9              // of the instance's items: it pauses
	roomAgain    = 0.7              // and goes on

	advised = "turned back or not taken" // the reason of a pause that the module's advice or the broker brought
)

// Host is what intake acts through.
type Host interface {
	Dial(broker int)                // Up or Failed follows
	Hangup(why string)              // end the connection; nothing of it is told any more
	Consume(credit int)             // take messages, so many unsettled a queue; anew where it does already
	Pause()                         // take no more; what is out stays to be settled
	Wake(at time.Duration)          // ask for a Tick at this time
	Log(format string, args ...any) // one line to the operators
}

// Far is how far a connection came before it failed.
type Far int

// How far.
const (
	Unreached Far = iota // nobody there, or it broke before it stood
	Refused              // the login, the vhost, a queue or an exchange: told by the broker
	Broken               // it had stood
)

// Fate is how a message ended.
type Fate int

// The fates.
const (
	Done     Fate = iota // fulfilled, or given up for good
	Returned             // turned back, and in its queue again
	Unsent               // its end could not be told: nothing took what had to be published
)

// Told is what is set, and never changes.
type Told struct {
	Brokers     int           // at least 1
	Least, Most int           // credit
	Silence     time.Duration // after which a broker that owes an answer is given up
}

type broker struct {
	wait  time.Duration // before the next but one try
	after time.Duration // not to be dialled before
}

type phase uint8

const (
	apart    phase = iota // no connection; dials at
	dialling              // waits for Up or Failed
	paused                // connected
	taking                // connected and consuming
)

// Intake is the decisions of one instance.
type Intake struct {
	host    Host
	told    Told
	chance  random.Source
	brokers []broker

	phase            phase
	at               int           // the broker dialled last
	dialAt, up       time.Duration // up: when it came to stand
	ends             int           // of messages, on this connection
	owed             int           // answers that the broker owes
	owedSince        time.Duration // or since it gave the last
	ready, leaving   bool          // the instance can work; is leaving, for good
	blocked, crowded bool          // by the broker; its items are nearly all taken
	until, pausedAt  time.Duration // it pauses; paused last

	credit, inForce    int // wanted; that the consumers have
	changed, judged    time.Duration
	out, peak          int     // unsettled now; most in this period
	ended, turned      int     // in this period
	inHand, done       float64 // of those done in this period: seconds in hand in all, and how many
	least, leastBefore float64 // mean time in hand of a period: the least of this spell and the last
	spell              time.Duration
}

// New makes one that waits for the instance to be ready.
func New(h Host, seed uint64, told Told) *Intake {
	i := &Intake{host: h, told: told, chance: random.New(seed), brokers: make([]broker, told.Brokers),
		credit: told.Least}
	for n := range i.brokers {
		i.brokers[n].wait = leastWait
	}
	return i
}

// Credit is what the consumers have in force; 0 while none is asked for.
func (i *Intake) Credit() int {
	if i.phase != taking {
		return 0
	}
	return i.inForce
}

// Out is how many messages are unsettled.
func (i *Intake) Out() int { return i.out }

// Ready tells whether the instance can work at all, and how much of its items is taken.
func (i *Intake) Ready(now time.Duration, ready bool, items, room int) {
	if was := i.crowded; float64(items) >= roomShort*float64(room) {
		i.crowded = true
	} else if was && float64(items) < roomAgain*float64(room) {
		i.crowded = false
	}
	i.ready = ready
	i.settle(now)
}

// Leave: nothing more is taken, for good.
func (i *Intake) Leave(now time.Duration) {
	i.leaving = true
	i.settle(now)
}

// Blocked: the broker takes nothing that is published, or does again.
func (i *Intake) Blocked(now time.Duration, blocked bool) {
	i.blocked, i.owedSince = blocked, now // while it takes nothing it answers nothing
	i.settle(now)
}

// Up: the connection stands, and all that is consumed and published to is there.
func (i *Intake) Up(now time.Duration) {
	if i.phase != dialling {
		return
	}
	i.phase, i.up, i.ends, i.owed, i.out, i.peak, i.blocked = paused, now, 0, 0, 0, 0, false
	i.pausedAt = now - resumeGap
	i.host.Log("broker %d up", i.at+1)
	i.settle(now)
}

// Failed: there is no connection, or none any more. The next broker is dialled, each after its own wait.
func (i *Intake) Failed(now time.Duration, far Far, why string) {
	if i.phase == apart {
		return
	}
	b := &i.brokers[i.at]
	if i.phase > dialling && (now-i.up >= goodTime || i.ends >= goodEnds) {
		b.wait = leastWait
	}
	wait := b.wait
	if b.wait = min(2*b.wait, mostWait); far == Refused {
		wait = refusedFor
	}
	b.after = now + time.Duration(float64(wait)*(0.5+i.chance.Float64()))
	i.phase, i.out, i.owed = apart, 0, 0
	next := i.at
	for n := range i.brokers { // of those that may be dialled soonest the next in turn
		if k := (i.at + 1 + n) % len(i.brokers); i.brokers[k].after < i.brokers[next].after {
			next = k
		}
	}
	if i.leaving { // nothing is dialled any more
		return
	}
	i.host.Log("broker %d lost: %s; broker %d is next, in %v", i.at+1, why, next+1, max(i.brokers[next].after-now, 0).Round(time.Millisecond))
	i.at, i.dialAt = next, max(i.brokers[next].after, now)
	i.settle(now)
}

// Asked and Answered: the broker owes an answer, or has given one. None for too long, and it is given up: it stands,
// and crawls or says nothing.
func (i *Intake) Asked(now time.Duration) {
	if i.owed++; i.owed == 1 {
		i.owedSince = now
	}
}

// Answered is the end of one Asked.
func (i *Intake) Answered(now time.Duration) {
	i.owed, i.owedSince = max(i.owed-1, 0), now
}

// Cancelled: the broker has ended a consumer, as it does when a queue goes or moves. What is out stays to be settled;
// after a pause it is consumed again, and a queue that is gone ends the connection then.
func (i *Intake) Cancelled(now time.Duration) {
	if i.phase == taking {
		i.host.Log("consumer cancelled by the broker")
		i.pause(now, cancelledFor)
	}
}

// Senseless: the broker does what it never may, and nothing of it can be trusted.
func (i *Intake) Senseless(now time.Duration, why string) {
	if i.phase >= paused {
		i.hangup(now, why)
	}
}

// Read: so many messages came.
func (i *Intake) Read(n int) {
	i.out += n
	i.peak = max(i.peak, i.out)
}

// Ended is the end of one message, which was here so long. Advice on when to come back holds for all.
func (i *Intake) Ended(now time.Duration, f Fate, took, comeBack time.Duration) {
	i.out = max(i.out-1, 0)
	i.ended++
	i.ends++
	switch f {
	case Done:
		i.inHand += max(took.Seconds(), 1e-4)
		i.done++
	case Returned:
		i.turned++
		i.pause(now, comeBack)
	case Unsent:
		i.pause(now, mostPause)
	}
}

func (i *Intake) pause(now, span time.Duration) {
	i.until = max(i.until, now+min(span, mostPause))
	i.settle(now)
}

// Tick comes when it was asked for.
func (i *Intake) Tick(now time.Duration) {
	if i.owed > 0 && i.phase >= paused && !i.blocked && now-i.owedSince > i.told.Silence {
		i.hangup(now, fmt.Sprintf("no answer for %v", i.told.Silence))
	}
	if now-i.judged >= period {
		i.judge(now)
	}
	i.settle(now)
}

func (i *Intake) hangup(now time.Duration, why string) {
	i.host.Hangup(why)
	i.Failed(now, Broken, why)
}

// judge moves the credit. What stands here beyond what is worked on is of no use here, and another consumer could
// have it: by Little's law that is what is out, less the part of its time in hand that a message needs on its own.
func (i *Intake) judge(now time.Duration) {
	mean := i.inHand / max(i.done, 1)
	if i.done > 0 && (i.least == 0 || mean < i.least) {
		i.least = mean
	}
	base := i.least
	if i.leastBefore > 0 && (base == 0 || i.leastBefore < base) {
		base = i.leastBefore
	}
	queued := 0.0
	if base > 0 && mean > base {
		queued = float64(i.peak) * (1 - base/mean)
	}
	want := float64(i.credit)
	switch {
	case i.ended > 0 && float64(i.turned) > turnedMany*float64(i.ended):
		want *= halve
	case i.turned > 0 || queued > max(manyQueued, float64(i.inForce)/2):
		want *= shrink
	case i.ended > 0 && i.peak >= i.inForce && i.inForce > 0 && queued < max(fewQueued, float64(i.inForce)/3):
		want = max(want*grow, want+1)
	}
	i.credit = min(max(int(want), i.told.Least), i.told.Most)
	if now-i.spell >= baseFor {
		i.spell, i.leastBefore, i.least = now, i.least, 0
	}
	i.judged, i.peak, i.ended, i.turned, i.inHand, i.done = now, i.out, 0, 0, 0, 0
}

// stop says why nothing may be taken now; empty: it may.
func (i *Intake) stop(now time.Duration) string {
	switch {
	case i.leaving:
		return "leaving"
	case !i.ready:
		return "not ready"
	case i.blocked:
		return "blocked by the broker"
	case i.crowded:
		return "items short"
	case now < i.until:
		return advised
	}
	return ""
}

// settle brings about what holds now.
func (i *Intake) settle(now time.Duration) {
	stop := i.stop(now)
	switch i.phase {
	case apart:
		if i.leaving {
			return
		}
		if now >= i.dialAt && i.ready {
			i.phase = dialling
			i.host.Dial(i.at)
			return
		}
	case taking:
		if stop != "" {
			i.phase, i.pausedAt = paused, now
			i.host.Pause()
			if stop != advised { // that one comes and goes with each peak of load
				i.host.Log("pauses: %s", stop)
			}
		} else if i.credit != i.inForce && now-i.changed >= changeGap {
			i.consume(now)
		}
	case paused:
		if stop == "" && now-i.pausedAt >= resumeGap {
			i.phase = taking
			i.consume(now)
		}
	}
	i.wake(now)
}

func (i *Intake) consume(now time.Duration) {
	i.inForce, i.changed = i.credit, now
	i.host.Consume(i.credit)
}

func (i *Intake) wake(now time.Duration) {
	at := now + period
	switch {
	case i.phase == apart && i.dialAt > now:
		at = min(at, i.dialAt)
	case i.phase == paused && i.until > now:
		at = min(at, max(i.until, i.pausedAt+resumeGap))
	case i.phase == paused:
		at = min(at, max(i.pausedAt+resumeGap, now+resumeGap))
	}
	i.host.Wake(at)
}
