package intake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// host is a Host that records the actions, and fails the test if one is not allowed in the current state.
type host struct {
	fail      func(format string, args ...any)
	lines     []string // actions and log messages
	dials     []int    // brokers in the order in which they were dialled
	credit    int      // of the last Consume
	dialling  bool
	connected bool
	consuming bool
	drained   bool
	tickAt    time.Duration // of the last ScheduleTick
}

func (h *host) record(format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf(format, args...))
}

// Dial implements Host.
func (h *host) Dial(broker int) {
	if h.dialling || h.connected || h.drained {
		h.fail("Dial called while dialling %v, connected %v, drained %v", h.dialling, h.connected, h.drained)
	}
	h.dialling = true
	h.dials = append(h.dials, broker)
}

// Disconnect implements Host.
func (h *host) Disconnect(reason string) {
	if !h.connected {
		h.fail("Disconnect called without a connection")
	}
	h.connected = false
	h.consuming = false
	h.record("disconnect %s", reason)
}

// Consume implements Host.
func (h *host) Consume(credit int) {
	if !h.connected || h.drained {
		h.fail("Consume called while connected %v, drained %v", h.connected, h.drained)
	}
	h.credit = credit
	h.consuming = true
	h.record("consume %d", credit)
}

// Pause implements Host.
func (h *host) Pause() {
	if !h.consuming {
		h.fail("Pause called while not consuming")
	}
	h.consuming = false
	h.record("pause")
}

// ScheduleTick implements Host.
func (h *host) ScheduleTick(at time.Duration) { h.tickAt = at }

// Log implements Host.
func (h *host) Log(message string, _ ...zap.Field) { h.record("log %s", message) }

func newThreeBrokers(t *testing.T) (*Controller, *host) {
	h := &host{fail: t.Errorf}
	return New(h, 7, Config{Brokers: 3, MinCredit: 4, MaxCredit: 64, ResponseTimeout: 5 * time.Second}), h
}

// newConnected returns a controller that is connected to the first of three brokers.
func newConnected(t *testing.T) (*Controller, *host) {
	controller, h := newThreeBrokers(t)
	controller.UpdateInstance(0, InstanceState{Ready: true, Capacity: 100})
	h.dialling, h.connected = false, true
	controller.Connected(0)
	return controller, h
}

// settleMessages settles count messages over two intervals, each with this processing time, with the credit fully used.
func settleMessages(controller *Controller, now *time.Duration, count int, processing time.Duration, outcome Outcome) {
	for range 2 {
		controller.MessagesReceived(controller.Credit() - controller.Unsettled())
		for range count / 2 {
			controller.MessageSettled(*now, outcome, processing, 0)
			controller.MessagesReceived(1)
		}
		*now += adjustInterval
		controller.Tick(*now)
	}
}

func TestCreditGrowsWhileFullyUsedAndNothingWaits(t *testing.T) {
	controller, h := newConnected(t)
	now := time.Duration(0)
	for range 30 {
		settleMessages(controller, &now, 100, 10*ms, Completed)
	}
	if controller.Credit() != 64 || h.credit != 64 {
		t.Errorf("credit %d, want 64", controller.Credit())
	}
	for range 3 { // 30 times the baseline, so most messages wait
		settleMessages(controller, &now, 100, 300*ms, Completed)
	}
	for range 8 {
		settleMessages(controller, &now, 100, 100*ms, Completed)
	}
	if controller.Credit() >= 32 {
		t.Errorf("credit %d while most messages wait, want less than 32", controller.Credit())
	}
}

func TestCreditStaysWhileUnused(t *testing.T) {
	controller, _ := newConnected(t)
	for now := time.Duration(0); now < 20*time.Second; now += adjustInterval {
		controller.MessagesReceived(1)
		controller.MessageSettled(now, Completed, 10*ms, 0)
		controller.Tick(now)
	}
	if controller.Credit() != 4 {
		t.Errorf("credit %d, want 4", controller.Credit())
	}
}

func TestRejectionHalvesCreditAndPausesForRetryAfter(t *testing.T) {
	controller, h := newConnected(t)
	now := time.Duration(0)
	for range 30 {
		settleMessages(controller, &now, 100, 10*ms, Completed)
	}
	controller.MessagesReceived(10)
	controller.MessageSettled(now, Requeued, ms, 700*ms)
	if h.consuming {
		t.Fatal("consuming continues after a rejection")
	}
	controller.Tick(now + 699*ms)
	if h.consuming || controller.Credit() != 0 {
		t.Error("consuming resumed before the Retry-After is over")
	}
	controller.Tick(now + 700*ms)
	if !h.consuming || h.credit != 32 {
		t.Errorf("consuming %v, credit %d, want true, 32", h.consuming, h.credit)
	}
	controller.MessageSettled(now+time.Second, Requeued, ms, time.Hour) // a long Retry-After is bounded by maxPause
	controller.Tick(now + time.Second + maxPause)
	if !h.consuming {
		t.Error("paused for longer than maxPause")
	}
}

func TestPauseAndResume(t *testing.T) {
	for name, step := range map[string]func(controller *Controller, now time.Duration, on bool){
		"not ready": func(controller *Controller, now time.Duration, on bool) {
			controller.UpdateInstance(now, InstanceState{Ready: !on, Capacity: 100})
		},
		"saturated": func(controller *Controller, now time.Duration, on bool) {
			controller.UpdateInstance(now, InstanceState{Ready: true, Requests: map[bool]int{true: 90, false: 69}[on], Capacity: 100})
		},
		"blocked": func(controller *Controller, now time.Duration, on bool) { controller.SetBlocked(now, on) },
	} {
		controller, h := newConnected(t)
		step(controller, 10*time.Second, true)
		if h.consuming {
			t.Errorf("%s: consuming continues", name)
		}
		step(controller, 10*time.Second+minPause/2, false)
		if h.consuming {
			t.Errorf("%s: consuming resumed before minPause is over", name)
		}
		controller.Tick(10*time.Second + minPause)
		if !h.consuming {
			t.Errorf("%s: consuming did not resume", name)
		}
	}
	controller, h := newConnected(t)
	controller.UpdateInstance(0, InstanceState{Ready: true, Requests: 90, Capacity: 100})
	// Between the two watermarks the instance remains saturated.
	controller.UpdateInstance(time.Second, InstanceState{Ready: true, Requests: 80, Capacity: 100})
	controller.Tick(2 * time.Second)
	if h.consuming {
		t.Error("consuming resumed between the watermarks")
	}
}

func TestBrokersAreDialledInTurnEachAfterItsBackoff(t *testing.T) {
	controller, h := newThreeBrokers(t)
	controller.UpdateInstance(0, InstanceState{Ready: true, Capacity: 100})
	now := time.Duration(0)
	lastDial := map[int]time.Duration{} // by broker
	var gaps []time.Duration
	for len(h.dials) < 30 {
		broker := h.dials[len(h.dials)-1]
		if at, ok := lastDial[broker]; ok && broker == 0 {
			gaps = append(gaps, now-at)
		}
		lastDial[broker] = now
		h.dialling = false
		n := len(h.dials)
		for controller.ConnectionFailed(now, ConnectFailed, "connection refused"); len(h.dials) == n; controller.Tick(now) {
			now = h.tickAt
		}
	}
	if fmt.Sprint(h.dials[:3]) != "[0 1 2]" {
		t.Errorf("brokers dialled in the order %v, want 0, 1, 2 first", h.dials)
	}
	if first, tail := gaps[0], gaps[len(gaps)-1]; first > 200*ms || tail < maxBackoff/2 || tail > 2*maxBackoff {
		t.Errorf("time between dials of the first broker: %v", gaps)
	}
}

func TestRejectedLoginBacksOffLongAndStableConnectionResetsBackoff(t *testing.T) {
	h := &host{fail: t.Errorf}
	controller := New(h, 7, Config{Brokers: 1, MinCredit: 1, MaxCredit: 1, ResponseTimeout: time.Second})
	controller.UpdateInstance(0, InstanceState{Ready: true, Capacity: 1})
	h.dialling = false
	if controller.ConnectionFailed(0, RejectedByBroker, "login"); controller.connection.dialAt < rejectedBackoff/2 {
		t.Errorf("dials again after %v, want at least rejectedBackoff/2", controller.connection.dialAt)
	}
	now := controller.connection.dialAt
	for n := range 10 {
		controller.Tick(now)
		h.dialling, h.connected = false, true
		controller.Connected(now)
		if n == 9 {
			now += stableAfter
		}
		h.connected, h.consuming = false, false
		controller.ConnectionFailed(now, ConnectionLost, "reset")
		if wait := controller.connection.dialAt - now; n == 8 && wait < maxBackoff/4 || n == 9 && wait > 2*minBackoff {
			t.Errorf("connection loss %d: dials again after %v", n, wait)
		}
		now = controller.connection.dialAt
	}
}

func TestUnresponsiveBrokerIsDisconnected(t *testing.T) {
	controller, h := newConnected(t)
	controller.RequestSent(0)
	controller.RequestSent(0)
	controller.ResponseReceived(4 * time.Second)
	controller.Tick(8 * time.Second)
	if !h.connected {
		t.Fatal("disconnected though the broker responds")
	}
	controller.Tick(9*time.Second + ms)
	if h.connected || !strings.Contains(strings.Join(h.lines, "\n"), "no response from the broker for 5s") {
		t.Errorf("not disconnected for lack of a response: %q", h.lines)
	}
}

func TestCancelledConsumerIsRestarted(t *testing.T) {
	controller, h := newConnected(t)
	controller.ConsumerCancelled(0)
	if h.consuming || !h.connected {
		t.Errorf("consuming %v, connected %v, want false, true", h.consuming, h.connected)
	}
	if controller.Tick(cancelledPause); !h.consuming {
		t.Error("the consumers were not restarted")
	}
}

func TestBlockedBrokerIsNotUnresponsive(t *testing.T) {
	controller, h := newConnected(t)
	controller.RequestSent(0)
	controller.SetBlocked(time.Second, true)
	controller.Tick(time.Minute)
	controller.SetBlocked(time.Minute, false)
	controller.Tick(time.Minute + 4*time.Second)
	if !h.connected {
		t.Fatal("disconnected because of the time for which the broker was blocked")
	}
	if controller.Tick(time.Minute + 6*time.Second); h.connected {
		t.Error("not disconnected after ResponseTimeout without being blocked")
	}
}

func TestDrainStopsConsumingAndDialling(t *testing.T) {
	controller, h := newConnected(t)
	controller.Drain(0)
	h.drained = true
	if h.consuming {
		t.Error("consuming continues while draining")
	}
	h.connected = false
	controller.ConnectionFailed(ms, ConnectionLost, "reset")
	for now := ms; now < time.Minute; now += adjustInterval {
		controller.Tick(now)
	}
}

// eventSequence is a controller under a random sequence of events, and the state that the events have set so far.
type eventSequence struct {
	host       *host
	controller *Controller
	config     Config
	now        time.Duration
	isReady    bool
}

func newEventSequence(t *rapid.T) *eventSequence {
	s := &eventSequence{host: &host{fail: t.Fatalf}}
	s.config.Brokers = rapid.IntRange(1, 4).Draw(t, "brokers")
	s.config.MinCredit = rapid.IntRange(1, 8).Draw(t, "min credit")
	s.config.MaxCredit = s.config.MinCredit + rapid.IntRange(0, 100).Draw(t, "credit range")
	s.config.ResponseTimeout = time.Second
	s.controller = New(s.host, rapid.Uint64().Draw(t, "seed"), s.config)
	return s
}

// connect makes the pending dial succeed.
func (s *eventSequence) connect() {
	s.host.dialling = false
	s.host.connected = true
	s.controller.Connected(s.now)
}

func (s *eventSequence) failConnection(failure Failure) {
	s.host.dialling = false
	s.host.connected = false
	s.host.consuming = false
	s.controller.ConnectionFailed(s.now, failure, "broken")
}

func (s *eventSequence) advanceTime(t *rapid.T) {
	s.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "time step"))
	s.controller.Tick(s.now)
}

func (s *eventSequence) updateInstance(t *rapid.T) {
	s.isReady = rapid.Bool().Draw(t, "ready")
	requests := rapid.IntRange(0, 100).Draw(t, "requests")
	s.controller.UpdateInstance(s.now, InstanceState{Ready: s.isReady, Requests: requests, Capacity: 100})
}

func (s *eventSequence) changeConnection(t *rapid.T) {
	switch {
	case s.host.dialling && rapid.Bool().Draw(t, "up"):
		s.connect()
	case s.host.dialling:
		s.failConnection(Failure(rapid.IntRange(0, 1).Draw(t, "failure")))
	case s.host.connected:
		s.failConnection(ConnectionLost)
	}
}

// exchangeMessages receives as many messages as the credit allows, and settles some of the unsettled ones.
func (s *eventSequence) exchangeMessages(t *rapid.T) {
	for n := s.controller.Credit() - s.controller.Unsettled(); n > 0 && s.host.consuming; n-- {
		s.controller.MessagesReceived(1)
	}
	for n := rapid.IntRange(0, s.controller.Unsettled()).Draw(t, "settled"); n > 0; n-- {
		outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
		processing := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "processing"))
		s.controller.MessageSettled(s.now, outcome, processing, 2*time.Second)
	}
}

func (s *eventSequence) maybeViolateProtocol(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "violation") == 0 {
		s.controller.ProtocolViolated(s.now, "violation")
	}
}

func (s *eventSequence) maybeDrain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
		s.controller.Drain(s.now)
		s.host.drained = true
	}
}

// check fails the test if the controller violates an invariant.
func (s *eventSequence) check(t *rapid.T) {
	credit := s.host.credit
	isWithinBounds := credit >= s.config.MinCredit && credit <= s.config.MaxCredit
	if s.host.consuming && (!isWithinBounds || credit != s.controller.Credit()) {
		t.Fatalf("credit %d, want %d to %d, and the same as the reported %d", credit, s.config.MinCredit, s.config.MaxCredit, s.controller.Credit())
	}
	if s.host.consuming && !s.isReady {
		t.Fatal("consuming while the instance is not ready")
	}
	if s.controller.Unsettled() < 0 || s.host.tickAt > s.now+adjustInterval {
		t.Fatalf("unsettled %d, tick at %v, now %v", s.controller.Unsettled(), s.host.tickAt, s.now)
	}
}

// checkResumes fails the test if the controller does not consume within two minutes after all obstacles are removed.
func (s *eventSequence) checkResumes(t *rapid.T) {
	s.controller.SetBlocked(s.now, false)
	s.controller.UpdateInstance(s.now, InstanceState{Ready: true, Capacity: 100})
	for end := s.now + 2*time.Minute; s.now < end && !s.host.consuming; {
		s.now = max(s.host.tickAt, s.now+ms)
		if s.controller.Tick(s.now); s.host.dialling {
			s.connect()
		}
	}
	if !s.host.consuming {
		t.Fatalf("not consuming though nothing prevents it: %+v", s.controller)
	}
}

// In any sequence of events the invariants and the host's checks hold, and consuming resumes once nothing prevents it.
func TestAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEventSequence(t)
		t.Repeat(map[string]func(*rapid.T){
			"time":       s.advanceTime,
			"ready":      s.updateInstance,
			"connection": s.changeConnection,
			"messages":   s.exchangeMessages,
			"request":    func(*rapid.T) { s.controller.RequestSent(s.now) },
			"response":   func(*rapid.T) { s.controller.ResponseReceived(s.now) },
			"blocked":    func(t *rapid.T) { s.controller.SetBlocked(s.now, rapid.Bool().Draw(t, "blocked")) },
			"cancel":     func(*rapid.T) { s.controller.ConsumerCancelled(s.now) },
			"violation":  s.maybeViolateProtocol,
			"drain":      s.maybeDrain,
			"":           s.check,
		})
		if !s.host.drained {
			s.checkResumes(t)
		}
	})
}
