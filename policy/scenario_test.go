package policy_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// scenarioDuration is the simulated time after which a scenario ends.
const scenarioDuration = 12 * time.Second

// Values that the scenarios choose from at random; repeated values are more likely.
var (
	dependencies = []settings.Dependency{
		"", settings.DependencyShared, settings.DependencyShared, settings.DependencyTier,
	}
	advertiseModes = []settings.AdvertiseMode{
		settings.AdvertiseOff, settings.AdvertiseThreshold, settings.AdvertiseWindow, settings.AdvertiseShare,
	}
	runOutcomes = []policy.Outcome{
		policy.OK, policy.OK, policy.OK, policy.OK, policy.Failed, policy.Unknown, policy.Cancelled,
	}
	failedCalls = []policy.Outcome{
		policy.Unknown, policy.Failed, policy.Rejected, policy.ConnectFailed, policy.Reset, policy.TimedOut,
	}
)

// scenario simulates one server under random load: its host, its clock and the scheduled events.
type scenario struct {
	random            *rand.Rand
	instance          *policy.Instance
	transcript        strings.Builder
	now               time.Duration
	events            eventQueue
	lastSequence      int
	requests          map[policy.RequestID]*request
	freeIDs           []policy.RequestID
	nextID            policy.RequestID
	settings          settings.Settings
	load              float64 // approximate load, relative to the capacity of the cores
	slowdown          float64 // factor on the duration of runs and calls
	callFailureChance float64 // probability that a call fails
	running           int
}

// request is the host's record of a request that has not been released.
type request struct {
	arrived      policy.Request
	generation   int // distinguishes it from earlier requests with the same id
	running      bool
	waitsForCall bool
	startedAt    time.Duration
	callsLeft    int
}

// runScenario runs the scenario of a seed and returns the transcript of all host calls.
func runScenario(seed uint64) string {
	s := &scenario{
		random:   rand.New(rand.NewPCG(seed, 43)),
		requests: map[policy.RequestID]*request{},
		slowdown: 1,
	}
	s.load = pick(s, 0.1, 0.3, 0.7, 1, 2, 4)
	s.settings = s.randomSettings()
	s.instance = policy.New(s, s.random.Uint64(), s.settings)
	s.schedule(0, s.admitRequests)
	s.schedule(s.randomDuration(2*time.Second), s.changeConditions)
	if s.chance(0.5) {
		s.schedule(scenarioDuration-s.randomDuration(4*time.Second), s.drain)
	}
	for len(s.events) > 0 {
		first := heap.Pop(&s.events).(event)
		s.now = first.at
		if s.now > scenarioDuration {
			break
		}
		first.action()
		for len(s.events) > 0 && s.events[0].at == s.now {
			heap.Pop(&s.events).(event).action()
		}
		s.instance.Dispatch(s.now)
	}
	return s.transcript.String()
}

func (s *scenario) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *scenario) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

func (s *scenario) randomNumber(values ...float64) settings.Number {
	if n := s.random.IntN(len(values) + 1); n < len(values) {
		return settings.NumberOf(values[n])
	}
	return settings.Number{}
}

func (s *scenario) randomFlag() settings.Flag { return settings.Flag(s.random.IntN(3)) }

func pick[T any](s *scenario, values ...T) T { return values[s.random.IntN(len(values))] }

func (s *scenario) randomServer() settings.Server {
	return settings.Server{
		Cores:                 s.randomNumber(1, 2, 4, 8),
		MemoryKB:              s.randomNumber(300, 1000, 5000, 1e6),
		RunMemoryFactor:       s.randomNumber(1, 2, 4),
		KeyEntryKB:            s.randomNumber(0, 5, 20),
		StopMode:              pick(s, "", settings.StopOff, settings.StopAbort, settings.StopSuspend),
		Dependency:            pick(s, dependencies...),
		CallQuota:             s.randomNumber(0.3, 0.9, 1.7, 3, 10),
		CallLinger:            s.randomNumber(0, 0.2, 1),
		CallQuotaWindow:       s.randomNumber(1, 5),
		AdvertiseMode:         pick(s, advertiseModes...),
		CallerCount:           s.randomNumber(3, 100, 1000),
		CallerIdleTimeout:     s.randomNumber(1, 30),
		EndpointsFollowHealth: s.randomFlag(),
		FleetSize:             s.randomNumber(1, 3, 10),
		OverQuotaWeight:       s.randomNumber(0.05, 0.5),
		WeightPerWork:         s.randomFlag(),
		RetryAfter:            s.randomFlag(),
		MaxRetryAfter:         s.randomNumber(1, 5),
		SlowStart:             s.randomFlag(),
		SlowStartFraction:     s.randomNumber(0.2, 0.5),
		WarmUpTime:            s.randomNumber(2, 6),
		DrainGrace:            s.randomNumber(0.5, 1),
		MaxConcurrencyPerCore: s.randomNumber(2, 4, 20),
	}
}

func (s *scenario) randomClass() settings.Class {
	return settings.Class{
		Idempotency:      pick(s, settings.Safe, settings.Idempotent, settings.NonIdempotent),
		Weight:           s.randomNumber(1, 3, 10),
		DegradedWeight:   s.randomNumber(0, 0.6, 0.6),
		MakesCalls:       s.randomFlag(),
		LatencyObjective: s.randomNumber(0.5, 1, 2),
		CallerTimeout:    s.randomNumber(1, 2, 3),
		KeyWindow:        s.randomNumber(0.5, 2, 10),
	}
}

func (s *scenario) randomSettings() settings.Settings {
	all := settings.Settings{Server: s.randomServer()}
	for range s.random.IntN(4) {
		all.Classes = append(all.Classes, s.randomClass())
	}
	for range s.random.IntN(3) {
		all.Tenants = append(all.Tenants, settings.Tenant{Quota: s.randomNumber(1, 10, 100)})
	}
	return all
}

// admitRequests admits one request or sometimes a burst, and schedules itself again.
func (s *scenario) admitRequests() {
	burst := 1
	if s.chance(0.05) {
		burst += s.random.IntN(12)
	}
	for range burst {
		s.admitRandomRequest()
	}
	cores := s.settings.Server.Cores.Or(1)
	gap := 0.06 / cores / s.load
	s.schedule(s.now+s.randomDuration(time.Duration(gap*float64(time.Second))), s.admitRequests)
}

// admitRandomRequest admits a random request under a free id. Some callers give up later.
func (s *scenario) admitRandomRequest() {
	arrived := s.randomRequest()
	id := s.allocateID()
	s.lastSequence++
	s.requests[id] = &request{arrived: arrived, generation: s.lastSequence, callsLeft: s.random.IntN(3)}
	if s.chance(0.05) {
		s.afterUnlessReleased(id, s.randomDuration(time.Second), func(*request) {
			s.instance.CallerGone(s.now, id)
		})
	}
	s.record("admit", int(id))
	s.instance.Admit(s.now, id, arrived)
}

func (s *scenario) randomRequest() policy.Request {
	arrived := policy.Request{
		Class:    s.random.IntN(max(len(s.settings.Classes), 1)),
		Tenant:   s.random.IntN(4) - 1,
		Caller:   s.random.IntN(9),
		IsRetry:  s.chance(0.1),
		Priority: s.random.Float64(),
		MemoryKB: 1 + 20*s.random.Float64(),
		Original: policy.NoOriginal,
	}
	if s.chance(0.01) {
		arrived.Class = pick(s, -1, 99)
	}
	if s.slowdown > 1 {
		arrived.ReadDelay = s.randomDuration(600 * time.Millisecond)
	} else if s.chance(0.2) {
		arrived.ReadDelay = s.randomDuration(100 * time.Millisecond)
	}
	if s.chance(0.3) {
		arrived.CallerTimeout = s.randomDuration(2 * time.Second)
	}
	if s.chance(0.3) {
		arrived.CostHint = s.randomDuration(300 * time.Millisecond)
	}
	switch {
	case s.chance(0.03):
		arrived.Original = policy.OriginalGone
	case s.chance(0.08) && s.nextID > 0:
		s.makeRetryOf(&arrived, policy.RequestID(s.random.IntN(int(s.nextID))))
	}
	return arrived
}

// makeRetryOf makes the request a retry of the original if that is not released and its class is valid.
func (s *scenario) makeRetryOf(arrived *policy.Request, original policy.RequestID) {
	r := s.requests[original]
	if r != nil && r.arrived.Class >= 0 && r.arrived.Class < 90 {
		arrived.Original = original
		arrived.Class = r.arrived.Class
	}
}

// allocateID returns a released id, or a new one if there is none.
func (s *scenario) allocateID() policy.RequestID {
	if last := len(s.freeIDs) - 1; last >= 0 {
		id := s.freeIDs[last]
		s.freeIDs = s.freeIDs[:last]
		return id
	}
	s.nextID++
	return s.nextID - 1
}

// changeConditions randomly changes the load, the duration of runs, the failures of calls or the settings,
// and schedules itself again.
func (s *scenario) changeConditions() {
	switch s.random.IntN(8) {
	case 0:
		s.slowdown = 4
	case 1:
		s.slowdown = 1
		s.callFailureChance = 0
	case 2:
		s.callFailureChance = 0.9
	case 3:
		s.settings.Server = s.randomServer()
		s.instance.SetServer(s.settings.Server)
	case 4:
		if n := len(s.settings.Classes); n > 0 {
			s.settings.Classes[0] = s.randomClass()
			s.instance.SetClass(0, s.settings.Classes[0])
			s.settings.Classes = append(s.settings.Classes, s.randomClass())
			s.instance.SetClass(n, s.settings.Classes[n])
			s.instance.FreeClass(n)
			s.instance.SetClass(n, s.settings.Classes[n])
		}
	case 5:
		s.load = pick(s, 0.1, 0.3, 0.7, 1, 2, 4)
	case 6:
		if s.nextID > 0 { // late events of any request, even of a released one
			id := policy.RequestID(s.random.IntN(int(s.nextID)))
			s.instance.CallReturned(s.now, id, policy.OK, 0)
			s.instance.RunEnded(s.now, id, policy.OK, 0)
		}
	case 7:
		if len(s.settings.Tenants) > 0 {
			s.instance.FreeTenant(0)
			s.instance.SetTenant(0, settings.Tenant{Quota: s.randomNumber(1, 10)})
		}
	}
	s.schedule(s.now+s.randomDuration(time.Second), s.changeConditions)
}

func (s *scenario) drain() { s.instance.Drain(s.now, s.randomDuration(3*time.Second)) }

// continueRun schedules the next call of the run or its end.
func (s *scenario) continueRun(id policy.RequestID) {
	delay := time.Duration(s.slowdown * float64(s.randomDuration(80*time.Millisecond)))
	if s.chance(0.03) {
		delay += time.Second
	}
	s.afterUnlessReleased(id, delay, func(r *request) {
		if !r.running || r.waitsForCall {
			return
		}
		if r.callsLeft > 0 {
			r.callsLeft--
			r.waitsForCall = true
			s.instance.CallRequested(s.now, id)
			return
		}
		s.endRun(id, r, pick(s, runOutcomes...))
	})
}

func (s *scenario) endRun(id policy.RequestID, r *request, outcome policy.Outcome) {
	r.running = false
	s.running--
	s.instance.RunEnded(s.now, id, outcome, s.now-r.startedAt)
}

func (s *scenario) record(name string, arguments ...any) {
	fmt.Fprintln(&s.transcript, append([]any{int64(s.now), name}, arguments...)...)
}

func (s *scenario) schedule(when time.Duration, act func()) {
	s.lastSequence++
	heap.Push(&s.events, event{max(when, s.now), s.lastSequence, act})
}

// afterUnlessReleased calls act after the delay, unless the request has been released by then.
func (s *scenario) afterUnlessReleased(id policy.RequestID, delay time.Duration, act func(r *request)) {
	generation := s.requests[id].generation
	s.schedule(s.now+delay, func() {
		if r := s.requests[id]; r != nil && r.generation == generation {
			act(r)
		}
	})
}

// event is an action at a simulated time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].sequence < q[b].sequence
}
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
