package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// sides is all that an instance talks to, written down.
type sides struct {
	down  bool
	owes  bool
	lines []string
}

func (s *sides) put(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}
func (s *sides) Up() bool                              { return !s.down }
func (s *sides) Start(rid, class string, body []byte)  { s.put("start %s %s %s", rid, class, body) }
func (s *sides) Stop(rid string)                       { s.put("stop %s", rid) }
func (s *sides) DeliverReply(rid string, reply []byte) { s.put("give %s %s", rid, reply) }
func (s *sides) RequestGauges()                        { s.put("gauges") }
func (s *sides) SelfTest(tag string)                   { s.put("test") }
func (s *sides) Call(rid string, _ time.Duration, b []byte) {
	s.put("call %s %s", rid, b)
}
func (s *sides) Abandon(rid string)                           { s.put("give up %s", rid) }
func (s *sides) SetIdleTimeout(time.Duration)                 {}
func (s *sides) Drain()                                       { s.put("drain") }
func (s *sides) Sweep(time.Time) (next time.Time)             { return }
func (s *sides) HealthChecked(tag string, ok bool, _ float64) { s.put("checked %s %v", tag, ok) }
func (s *sides) Answer(tag string, a Answer) {
	s.put("answer %s %d %s", tag, a.Status, a.Result)
}

func (s *sides) wants(t *testing.T, n int, text string) {
	t.Helper()
	if got := strings.Count("\n"+strings.Join(s.lines, "\n")+"\n", "\n"+text); got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, s.lines)
	}
}

type front struct{ *sides }

func (front) Sweep(time.Time)    {}
func (f front) HasPending() bool { return f.owes }

type reports struct{}

func (reports) Sweep(time.Time, bool) {}

// up is an instance whose runtime is up; classes safe, keyed and unsafe.
func up(change func(*settings.Settings)) (*Instance, *sides) {
	s := &sides{}
	n := New(testutil.TypedSettings(change), 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(s, s, reports{}, front{s}, front{s})
	n.RuntimeReady(false, 0, time.Now())
	n.Tick()
	return n, s
}

// apply puts what differs in force.
func (n *Instance) apply(t *testing.T, was, now settings.Settings) {
	t.Helper()
	d, err := settings.Compare(n.Version(), was, now, func() {})
	if err == nil {
		err = n.Apply(d)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// ask reads a request that came to the machine so long ago.
func (n *Instance) ask(s Responder, rid, class, key string, ago time.Duration) {
	if err := n.Admit(s, rid, Request{ID: rid, Class: class, Key: key, MemoryKB: 1, ReceivedAt: time.Now().Add(-ago), Body: []byte("x")}); err != nil {
		panic(err)
	}
	n.Tick()
}

// again reads a request that may have run elsewhere.
func (n *Instance) again(s Responder, rid, class, key, body string) {
	if err := n.Admit(s, rid, Request{ID: rid, Class: class, Key: key, MemoryKB: 1, MayHaveRunElsewhere: true, ReceivedAt: time.Now(), Body: []byte(body)}); err != nil {
		panic(err)
	}
	n.Tick()
}

// A machine that stands still owes its readings and is silent: that is no load, and the module must hear of it.
func TestSilentMachineDefersTheTick(t *testing.T) {
	n, s := up(nil)
	for _, silent := range []bool{false, true} {
		n.now = time.Since(n.start)
		n.wake, n.asked, n.gaugesAt, n.heard = n.now, n.now-2*silence, n.now-3*silence, n.now
		if silent {
			n.heard = n.asked
		}
		if late := n.standstill() - n.wake; (late == mostSilence) != silent || !silent && late != 0 {
			t.Errorf("silent %v: %v late", silent, late)
		}
	}
	if s.down = true; n.standstill() != n.wake {
		t.Error("a link that is down defers ticks")
	}
}

// The runtime tells its age in whole milliseconds: that much younger is the same one.
func TestRuntimeIsAnewOnlyIfItIsMuchYounger(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "safe", "", 0)
	n.RuntimeReady(true, time.Since(n.began)-2*time.Millisecond, time.Now())
	n.Tick()
	s.wants(t, 0, "answer")
	n.began = n.began.Add(-time.Second)
	n.RuntimeReady(true, 0, time.Now())
	n.Tick()
	s.wants(t, 1, "answer a 2")
}

func TestKeysStayWithinTheirMemory(t *testing.T) {
	n, s := up(nil)
	n.kept = n.room - entryBytes - 4
	n.ask(s, "a", "keyed", "one", 0)
	n.ask(s, "b", "keyed", "one", 0) // joins
	n.RunEnded("a", policy.OK, 0, []byte("five!"))
	n.Tick()
	s.wants(t, 1, "answer b 0 five!") // though it isn't kept
	n.ask(s, "c", "keyed", "one", 0)
	s.wants(t, 1, "answer c 2")
	n.kept -= entryBytes
	others := n.kept - entryBytes
	n.ask(s, "d", "keyed", "two", 0)
	n.RunEnded("d", policy.OK, 0, []byte("four"))
	n.Tick()
	n.ask(s, "e", "keyed", "two", 0)
	s.wants(t, 1, "answer e 0 four")
	n.ask(s, "f", "keyed", "three", 0)
	s.wants(t, 1, "answer f 1")
	for _, r := range n.keys {
		r.end = n.now - time.Minute
	}
	n.sweep()
	if n.kept != others || len(n.keys) != 0 {
		t.Errorf("%d bytes, %d keys left", n.kept-others, len(n.keys))
	}
	n.room, n.kept = itemBytes, 0
	n.ask(s, "g", "safe", "", 0)
	n.ask(s, "h", "safe", "", 0)
	s.wants(t, 1, "answer h 1")
}

func TestRepeatReadLateStillMeetsItsKey(t *testing.T) {
	n, s := up(func(s *settings.Settings) { s.Classes[1].KeyWindow = settings.NumberOf(0.05) })
	n.ask(s, "a", "keyed", "key", 0)
	n.RunEnded("a", policy.OK, 0, []byte("one"))
	n.Tick()
	r := n.keys["keyed key"]
	r.end = n.now - 50*time.Millisecond // over when the repeat is read, not when it came
	n.ask(s, "b", "keyed", "key", 100*time.Millisecond)
	s.wants(t, 1, "answer b 0 one")
	n.ask(s, "c", "keyed", "key", 0)
	s.wants(t, 1, "start c")
}

// A run may take longer than its window. Its key stands until it is over: a repeat gets its result, and another body does
// not take its place, as those that wait for the first would get the result of the second.
func TestRunOutlastsItsWindow(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "keyed", "key", 0)
	n.ask(s, "b", "keyed", "key", 0)
	n.keys["keyed key"].end = n.now - 10*afterEnd
	n.swept = 0
	n.Tick()
	n.ask(s, "c", "keyed", "key", 0)
	if err := n.Admit(s, "d", Request{ID: "d", Class: "keyed", Key: "key", MemoryKB: 1, ReceivedAt: time.Now(), Body: []byte("another")}); err != nil {
		t.Fatal(err)
	}
	n.Tick()
	s.wants(t, 1, "answer d 2")
	s.wants(t, 1, "start")
	n.RunEnded("a", policy.OK, 0, []byte("one"))
	n.Tick()
	for _, rid := range []string{"a", "b", "c"} {
		s.wants(t, 1, "answer "+rid+" 0 one")
	}
	n.ask(s, "e", "keyed", "key", 0) // past the window, and over
	s.wants(t, 1, "start e")
}

// Of a key's two windows the longer holds, whichever settings are in force when the repeat comes.
func TestKeyKeepsTheLongerOfItsWindows(t *testing.T) {
	for _, later := range []float64{90, 1} {
		n, s := up(nil) // with windows of 10 s
		n.ask(s, "a", "keyed", "k", 0)
		n.RunEnded("a", policy.OK, time.Millisecond, []byte("r"))
		n.Tick()
		here, end := testutil.TypedSettings(nil), time.Duration(0)
		there := testutil.TypedSettings(func(s *settings.Settings) {
			s.Classes[1].KeyWindow, s.Server.FleetSize = settings.NumberOf(later), settings.NumberOf(2)
		})
		n.free = 0.5
		for range 3 { // there, back, and there again
			n.apply(t, here, there)
			n.Tick()
			if r := n.keys["keyed k"]; end == 0 {
				end = r.end
			} else if r.end != end {
				t.Errorf("ends at %v, at %v after the first switch", r.end, end)
			}
			if n.free >= 0 {
				t.Errorf("%v is still sent, in the earlier form", n.free)
			}
			n.apply(t, there, here)
			n.Tick()
		}
		n.apply(t, here, there)
		n.Tick()
		n.start = n.start.Add(-max(time.Duration(later)*time.Second, 10*time.Second) + time.Second)
		n.ask(s, "b", "keyed", "k", 0)
		s.wants(t, 1, "start a")
		s.wants(t, 0, "start b")
		s.wants(t, 1, "answer b 0 r")
	}
}

func TestResultOfAnOldWindowIsNotLentToTheNext(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "keyed", "key", 0)
	n.RunEnded("a", policy.OK, 0, []byte("old"))
	n.Tick()
	n.keys["keyed key"].end = n.now - time.Second
	n.ask(s, "b", "keyed", "key", 0)
	n.ask(s, "c", "keyed", "key", 0)
	s.wants(t, 1, "start b")
	s.wants(t, 0, "answer c")
	n.RunEnded("b", policy.OK, 0, []byte("new"))
	n.Tick()
	s.wants(t, 1, "answer c 0 new")
}

func TestKeysAreEmptiedByTime(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "keyed", "key", 0)
	n.RunEnded("a", policy.OK, 0, nil)
	n.Tick()
	n.keys["keyed key"].end, n.swept = n.now-2*afterEnd, 0
	n.Tick()
	if len(n.keys) != 0 {
		t.Error("the key entry stays")
	}
}

func TestRepeatGetsTheResultOfWhatWasScrapped(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "b", "keyed", "other", 0)
	n.mod.Tick(n.now+3*time.Second, policy.Gauges{Busy: -1, Runnable: -1}) // b runs past its due time
	s.wants(t, 1, "answer b 2")
	n.RunEnded("b", policy.OK, 0, []byte("late"))
	n.ask(s, "c", "keyed", "other", 0)
	s.wants(t, 1, "answer c 0 late")
	s.wants(t, 1, "answer b")
	s.wants(t, 1, "start")
}

func TestWhatNoLinkTookIsSaidOnceItIsUp(t *testing.T) {
	n, s := up(nil)
	s.down = true
	n.ask(s, "a", "unsafe", "", 0)
	n.ask(s, "b", "unsafe", "", 0)
	s.wants(t, 0, "start")
	n.Fail(n.byRid["b"]) // answered before it could start: nothing is left to run
	s.down = false
	n.RuntimeResynced()
	n.Tick()
	s.wants(t, 1, "start a unsafe x")
	s.wants(t, 0, "start b")
	n.CallRequested("a", []byte("call"))
	n.Tick()
	s.wants(t, 1, "call a call")
	s.down = true
	n.CallReturned("a", policy.OK, 0, []byte("reply"))
	n.Tick()
	s.down = false
	n.RuntimeResynced()
	n.RuntimeResynced()
	n.Tick()
	s.wants(t, 1, "start a")
	s.wants(t, 1, "give a reply")
}

// A pause between the runtime's answer and its being read must not make the runtime look younger.
func TestLateReadAnswerOfTheRuntimeIsNoNewStart(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "safe", "", 0)
	n.began = n.began.Add(-5 * time.Second)
	n.RuntimeReady(false, 3*time.Second, time.Now().Add(-3*time.Second))
	n.Tick()
	s.wants(t, 0, "answer a")
	n.RuntimeReady(false, 3*time.Second, time.Now())
	n.Tick()
	s.wants(t, 1, "answer a 2")
}

func TestCallersThatAreGoneAreNotAnswered(t *testing.T) {
	n, s := up(nil)
	other := &sides{}
	for _, rid := range []string{"a", "b", "c"} {
		n.ask(other, rid, "unsafe", "", 0)
	}
	n.CallerGone(other)
	n.Tick()
	n.RunEnded("a", policy.OK, 0, nil)
	n.ask(s, "d", "unsafe", "", 0)
	s.wants(t, 1, "start d") // on the core that c, still held, was given up for
	s.wants(t, 0, "start c")
	if len(other.lines) != 0 {
		t.Errorf("told %q", other.lines)
	}
}

func TestPanicOfOneEventSparesTheNext(t *testing.T) {
	n, s := up(nil)
	n.put(func() { panic("no") })
	n.ask(s, "a", "safe", "", 0)
	s.wants(t, 1, "start a")
}

// A deep check that the runtime has not answered is answered at the notice: no verdict can make it good any more.
func TestDrainAnswersTheDeepChecks(t *testing.T) {
	n, s := up(nil)
	n.stored = false
	n.CheckHealth(s, "1", true)
	s.wants(t, 1, "test")
	n.Drain()
	n.Tick()
	s.wants(t, 1, "checked 1 false")
	n.SelfTestEnded("check1", true)
	s.wants(t, 1, "checked")
}

// Every front hears of the end, and an answer that one still has to deliver is waited for, up to the kill.
func TestDrainReachesAllFrontsAndWaitsForWhatTheyOwe(t *testing.T) {
	n, s := up(nil)
	s.owes = true
	n.Drain()
	n.Tick()
	s.wants(t, 2, "drain")
	n.now, n.lastRead = n.graceEnd+time.Second, n.graceEnd
	if n.phase() != loop.PhaseServing {
		t.Error("the door closes though a front owes answers")
	}
	if s.owes = false; n.phase() != loop.PhaseClosingListener {
		t.Error("the door stays open though nothing is owed")
	}
	s.owes, n.now = true, n.killAt-lastCall
	if n.phase() != loop.PhaseClosingConns {
		t.Error("a front that owes for good holds up the connections' ends")
	}
	if n.now = n.killAt - lastBreath; n.phase() != loop.PhaseStopped {
		t.Error("a front that owes for good outlasts the kill")
	}
}

// A message that a broker hands out again may have run at another instance, or here before a cold start.
func TestWhatMayHaveRunElsewhereIsNotRunUnlessItsKeyIsKnown(t *testing.T) {
	n, s := up(nil)
	n.again(s, "a", "keyed", "key", "x")
	n.again(s, "b", "unsafe", "", "x")
	s.wants(t, 1, "answer a 2")
	s.wants(t, 1, "answer b 2")
	s.wants(t, 0, "start")
	n.again(s, "c", "safe", "", "x")
	s.wants(t, 1, "start c")
	n.ask(s, "d", "keyed", "key", 0)
	n.RunEnded("d", policy.OK, 0, []byte("kept"))
	n.Tick()
	n.again(s, "e", "keyed", "key", "x")
	s.wants(t, 1, "answer e 0 kept")
}

// At the very end of a window the entry still stands for a while: a message that is handed out again then gets its own
// result, never another's, and is not run.
func TestHandedOutAgainAfterItsWindow(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "keyed", "key", 0)
	n.RunEnded("a", policy.OK, 0, []byte("kept"))
	n.Tick()
	n.keys["keyed key"].end = n.now - time.Millisecond
	n.again(s, "b", "keyed", "key", "x")
	s.wants(t, 1, "answer b 0 kept")
	n.again(s, "c", "keyed", "key", "another")
	s.wants(t, 1, "answer c 2")
	n.discard("keyed key")
	n.again(s, "d", "keyed", "key", "x")
	s.wants(t, 1, "answer d 2")
	s.wants(t, 1, "start")
}

func TestPatienceThatIsOverIsNotTakenForNone(t *testing.T) {
	n, s := up(nil)
	for rid, patience := range map[string]time.Duration{"a": time.Millisecond, "b": time.Minute} {
		if err := n.Admit(s, rid, Request{ID: rid, Class: "safe", MemoryKB: 1, ReceivedAt: time.Now().Add(-10 * time.Millisecond), CallerTimeout: patience}); err != nil {
			t.Fatal(err)
		}
	}
	n.Tick()
	s.wants(t, 1, "answer a 1")
	s.wants(t, 1, "start b")
}

func TestDoorClosesBeforeTheEnd(t *testing.T) {
	n, s := up(nil)
	n.ask(s, "a", "unsafe", "", 0)
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Fatalf("phase %v at the notice", phase)
	}
	for _, at := range []struct {
		left time.Duration
		want loop.Phase
	}{{closeBefore + 100*time.Millisecond, loop.PhaseServing}, {closeBefore - 100*time.Millisecond, loop.PhaseClosingListener},
		{lastCall, loop.PhaseClosingConns}, {lastBreath, loop.PhaseStopped}} {
		n.now, n.lastRead = n.killAt-at.left, n.killAt-at.left
		if got := n.phase(); got != at.want {
			t.Errorf("%v before the stop: phase %v, want %v", at.left, got, at.want)
		}
	}
}

// What comes within a moment of the notice is still listened for, also where there is no grace and no runtime yet.
func TestWhatCrossesTheNoticeIsListenedFor(t *testing.T) {
	s := &sides{}
	n := New(testutil.TypedSettings(nil), 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(s, s, reports{}, front{s})
	n.start = n.start.Add(-time.Minute)
	n.Tick()
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Errorf("phase %v at the notice", phase)
	}
	n.start = n.start.Add(-2 * quietBefore)
	if _, phase := n.Tick(); phase != loop.PhaseClosingListener {
		t.Errorf("phase %v when nothing comes any more", phase)
	}
}
