package slots

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"thymechute/internal/decide/ring"
	"thymechute/internal/testutil"
	"thymechute/internal/testutil/member"
)

// A backend in slow start at first receives a tenth of 200 calls per second.
var (
	warmUpSlowStart = ring.SlowStart{InitialFraction: 0.1, Increment: 0.3, StepInterval: 1500 * time.Millisecond,
		BackoffFactor: 0.5, MaxLatency: time.Second, MaxErrorRate: 0.5}
	warmUpBudget = ring.CallBudget{CallsPerWindow: 200, Window: time.Second, GrantInterval: 250 * time.Millisecond}
)

const (
	warmingBackend    = "b4"
	warmUpCallerCount = 3
)

// warmUpConfig adds the slow start to a member's config. With withoutQuotas, the grants are larger than any demand.
func warmUpConfig(c Config) Config {
	c.Slots, c.SlowStart, c.Budget = 256, warmUpSlowStart, warmUpBudget
	if os.Getenv(warmUpVariable) == withoutQuotas {
		c.Budget.CallsPerWindow = 1 << 20
	}
	return c
}

// startWarmUpCallers starts callers that call the backend in slow start as often as the Controller allows.
func (m *testMember) startWarmUpCallers() {
	for n := range warmUpCallerCount {
		go m.callWarmingBackend(rand.New(rand.NewPCG(m.Incarnation, uint64(n))))
	}
	if file := os.Getenv(stopApplyingVariable); file != "" {
		go m.stopApplyingOnceFileExists(file)
	}
}

// stopApplyingOnceFileExists waits for the file and then makes the member apply no more entries of the log.
func (m *testMember) stopApplyingOnceFileExists(file string) {
	for ; ; time.Sleep(pollInterval) {
		if _, err := os.Stat(file); err == nil {
			m.hasStoppedApplying.Store(true)
			return
		}
	}
}

// callWarmingBackend calls the backend that is warming up as often as the Controller allows. It draws random keys until a
// warming backend owns one, and uses that key as long as this is so. Half of the calls are idempotent: that must not
// circumvent the quotas.
func (m *testMember) callWarmingBackend(random *rand.Rand) {
	for key := ""; ; {
		if key == "" {
			key = fmt.Sprint("k", random.IntN(4096))
		}
		call := m.controller.BeginCall(key, ring.Idempotency(random.IntN(2) == 0))
		if call.Decision != ring.RejectQuotaExhausted && (call.Decision != ring.Allow || !call.Backend.WarmingUp) {
			key = ""
		}
		if call.Decision == ring.Allow {
			m.callBackend(call)
		}
		if call.IsAllowed() { // AllowStale permits only existing connections, and there are none
			m.controller.EndCall(call.Slot)
		}
		time.Sleep(time.Duration(2+random.IntN(6)) * time.Millisecond)
	}
}

func (m *testMember) callBackend(call Call) {
	connection, err := net.DialTimeout("tcp", call.Backend.Zone, time.Second)
	if err != nil {
		return
	}
	defer connection.Close()
	if m.Now() < call.Deadline { // not if dialing took too long or this process was suspended
		fmt.Fprintln(connection, m.Name, call.Backend.WarmingUp)
		_, _ = io.Copy(io.Discard, connection)
	}
}

// maxCallsAfter returns the maximum number of calls that the slow start allows in a window that ends this long after the
// backend was added. It assumes the earliest possible start: the leader cannot have started before that.
func maxCallsAfter(since time.Duration) int {
	steps := float64(since / warmUpSlowStart.StepInterval)
	return int(float64(warmUpBudget.CallsPerWindow)*min(warmUpSlowStart.InitialFraction+warmUpSlowStart.Increment*steps, 1) + 1e-9)
}

// slowStartDuration returns the time after which the backend may have its full weight and is no longer limited by the budget.
func slowStartDuration() time.Duration {
	return time.Duration(math.Ceil((1-warmUpSlowStart.InitialFraction)/warmUpSlowStart.Increment-1e-9)) * warmUpSlowStart.StepInterval
}

// worstWindow checks every window that ends with an arrival during the slow start, that is, before slowStartDuration or from
// a sender in whose table the backend is warming up. It returns the number of windows checked, and by how many calls the
// worst one exceeds N + 2√N + 2, where N is the number of calls allowed; 0 or less if no window does.
func worstWindow(got []arrival, addedAt time.Time) (checked, over int) {
	over = math.MinInt
	for last, first := 0, 0; last < len(got) && (got[last].isWarmingUp || got[last].at.Sub(addedAt) < slowStartDuration()); last++ {
		for got[last].at.Sub(got[first].at) >= warmUpBudget.Window {
			first++
		}
		n := maxCallsAfter(got[last].at.Sub(addedAt))
		over = max(over, last-first+1-int(float64(n)+2*math.Sqrt(float64(n))+2))
		checked++
	}
	return checked, over
}

// warmUpFleet is a cluster of members that call a backend in slow start as often as their Controllers allow.
type warmUpFleet struct {
	*testutil.Cluster[memberEvent]
	t            *testing.T
	environment  []string
	backendsFile string
	backends     []ring.Backend // four at full weight
}

// startWarmUpFleet starts the members and waits until all use a table of four backends. mode is the value of warmUpVariable.
func startWarmUpFleet(t *testing.T, subnet, members int, mode string) *warmUpFleet {
	f := &warmUpFleet{t: t, backendsFile: filepath.Join(t.TempDir(), "want.json")}
	f.environment = []string{backendsFileVariable + "=" + f.backendsFile, warmUpVariable + "=" + mode}
	for n := range 4 {
		f.backends = append(f.backends, ring.Backend{Name: fmt.Sprint("b", n), Zone: new(countingBackend).serve(t), Weight: 1})
	}
	writeBackendsFile(t, f.backendsFile, f.backends)
	f.Cluster = testutil.NewCluster(t, subnet, member.PortCount, func(e *memberEvent, name string) { e.member = name })
	f.Start("m0", append(f.environment, member.BootstrapVariable+"=1")...)
	f.WaitFor("first leader", 0, isLeaseAcquired)
	for n := 1; n < members; n++ {
		f.Start(fmt.Sprint("m", n), f.environment...)
	}
	for _, name := range f.Names() {
		f.WaitFor("first table at "+name, 0, isTableAt(name, 0))
	}
	return f
}

// addWarmingBackend adds a backend in slow start to the target backends, and returns it and the time at which it was added.
func (f *warmUpFleet) addWarmingBackend() (backend *countingBackend, addedAt time.Time) {
	backend = &countingBackend{}
	addedAt = time.Now()
	writeBackendsFile(f.t, f.backendsFile, append(slices.Clone(f.backends),
		ring.Backend{Name: warmingBackend, Zone: backend.serve(f.t), Weight: 1, WarmingUp: true}))
	return backend, addedAt
}

// 24 processes call a backend in slow start as often as their Controllers allow. One of them stops receiving the log, but
// continues to acknowledge and to call; another joins during the slow start. In no window may more calls arrive than the
// budget allows.
func TestProcessesStayWithinBudgetOfWarmingUpBackend(t *testing.T) {
	const cutName, lateName = "m22", "m23"
	cutFile := filepath.Join(t.TempDir(), "cut")
	f := startWarmUpFleet(t, 16, 22, "1")
	f.Start(cutName, append(f.environment, stopApplyingVariable+"="+cutFile)...)
	f.WaitFor("table at "+cutName, 0, isTableAt(cutName, 0))
	backend, addedAt := f.addWarmingBackend()
	testutil.Eventually(t, "calls from the member before its log is cut", func() bool { return hasCallFrom(backend.copyArrivals(), cutName, time.Time{}) })
	if err := os.WriteFile(cutFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cutAt := time.Now()
	f.Start(lateName, f.environment...)
	f.WaitFor("table at the late member", 0, isTableAt(lateName, 0))
	testutil.Eventually(t, "calls from the late member, and the end of the slow start", func() bool {
		got := backend.copyArrivals()
		return hasCallFrom(got, lateName, time.Time{}) && !got[len(got)-1].isWarmingUp
	})

	got := backend.copyArrivals()
	checked, over := worstWindow(got, addedAt)
	t.Logf("%d windows checked for %d calls, the worst window %d calls below the limit", checked, len(got), -over)
	if over > 0 || checked < 20 {
		t.Errorf("the worst window exceeds the limit by %d calls, %d windows checked; want at most 0, at least 20", over, checked)
	}
	if hasCallFrom(got, cutName, cutAt.Add(2*terms.Duration)) { // its lease, and as much again in case the machine is busy
		t.Error("the member that stopped receiving the log still calls after its lease")
	}
	for _, e := range f.Events() {
		if isDigestMismatch(e) {
			t.Errorf("%s: %s", e.member, e.Text)
		}
	}
}

// Shows that the check of the previous test is effective: without quotas only the number of the backend's slots limits its
// calls, and the budget must be exceeded.
func TestBudgetIsExceededWithoutQuotas(t *testing.T) {
	f := startWarmUpFleet(t, 18, 8, withoutQuotas)
	backend, addedAt := f.addWarmingBackend()
	testutil.Eventually(t, "the end of the slow start", func() bool { return time.Since(addedAt) > slowStartDuration() })
	if checked, over := worstWindow(backend.copyArrivals(), addedAt); over <= 0 {
		t.Errorf("%d windows checked, none exceeds the limit (the worst is %d calls below): the check is ineffective", checked, -over)
	} else {
		t.Logf("%d windows checked, the worst exceeds the limit by %d calls", checked, over)
	}
}

func TestBudgetRequiresSlowStart(t *testing.T) {
	for name, c := range map[string]struct {
		budget    ring.CallBudget
		slowStart ring.SlowStart
		isValid   bool
	}{"neither": {isValid: true}, "both": {warmUpBudget, warmUpSlowStart, true}, "no slow start": {budget: warmUpBudget},
		"half a budget": {ring.CallBudget{CallsPerWindow: 1}, warmUpSlowStart, false}} {
		if _, err := New(Config{Slots: 64, SlowStart: c.slowStart, Budget: c.budget}, nil); (err == nil) != c.isValid {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
