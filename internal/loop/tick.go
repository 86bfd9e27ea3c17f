package loop

import (
	"time"

	"go.uber.org/zap"
)

const (
	stallThreshold = 50 * time.Millisecond // a tick later than this shows that the process or the machine was stalled
	maxDeferrals   = 64                    // bounds the ticks deferred in a row after a stall while input still arrives
)

// scheduleTick queues a tick after all input that is ready now: gnet runs tasks after the events of the same poll.
func (l *Loop) scheduleTick() {
	if l.tickQueued {
		return
	}
	l.tickQueued = true
	l.execute(func() {
		l.tickQueued = false
		l.tick()
	})
}

func (l *Loop) tick() {
	if l.phase == PhaseStopped {
		return
	}
	if l.deferTick(time.Now()) {
		l.scheduleTick()
		return
	}
	phase := l.phase
	WithRecover(l.log, "tick", func() { l.nextTick, phase = l.host.Tick() })
	l.flush()
	l.shutDown(phase)
	next := l.closeExpiredLingering(time.Now())
	if !next.IsZero() && next.Before(l.nextTick) {
		l.nextTick = next
	}
	if phase == PhaseClosingConns && !l.hasAcceptedConns() {
		phase = PhaseStopped
	}
	l.phase = phase
	if phase == PhaseStopped {
		l.log.Info("event loop stopped", zap.Int("open_connections", len(l.acceptedConns)))
		close(l.stopped)
		return
	}
	l.tickTimer.Reset(max(time.Until(l.nextTick), 0))
}

// shutDown closes the listener, and later the accepted connections, as the phase requires.
func (l *Loop) shutDown(phase Phase) {
	if phase >= PhaseClosingListener {
		l.closeListener()
	}
	if phase < PhaseClosingConns || !l.allAcceptedRead() {
		return
	}
	for c := range l.acceptedConns {
		c.Close()
	}
	l.flush()
}

// allAcceptedRead reports whether the listener is closed and each accepted connection has been read from once. The first poll
// after a connection has joined the loop delivers the input that had arrived before it joined.
func (l *Loop) allAcceptedRead() bool {
	if l.hasUnreadConns {
		l.hasUnreadConns = false
		l.scheduleTick()
		return false
	}
	return !l.listening
}

// hasAcceptedConns reports whether an accepted connection is open or may still join the loop.
func (l *Loop) hasAcceptedConns() bool { return l.listening || len(l.acceptedConns) > 0 }

// deferTick reports whether the tick has to wait for more input. After a stall, all input that arrived during it is received
// before the tick, so that the host does not mistake the stall for load.
func (l *Loop) deferTick(now time.Time) bool {
	stalled := !l.nextTick.IsZero() && now.Sub(l.nextTick) > stallThreshold
	deferred := stalled && l.hasReceived && l.deferrals < maxDeferrals
	l.hasReceived = false
	if !deferred {
		l.deferrals = 0
		return false
	}
	l.deferrals++
	return true
}
