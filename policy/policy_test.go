package policy

import (
	"math"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

func fresh(change func(*settings.Settings)) (*Instance, *hostRecorder) {
	b := &hostRecorder{}
	return New(b, 7, testutil.TypedSettings(change)), b
}

func of(class int) Request { return Request{Class: class, MemoryKB: 10, Original: NoOriginal} }

// busy fills the cores with requests from index at, and holds n more.
func busy(i *Instance, class, n int) {
	for w := range RequestID(2 + n) {
		i.Admit(0, w, of(class))
	}
	i.Dispatch(0)
}

func TestFlagRefusesAtEntryOnlyWhileSomethingWaits(t *testing.T) {
	i, b := fresh(nil)
	busy(i, 0, 0)
	i.flag = true
	i.Admit(0, 5, of(0))
	b.expectCalls(t, 0, "reject 5")
	i.Admit(0, 6, of(0))
	b.expectCalls(t, 1, "reject 6")
}

func TestFlagSparesTheNewcomerThatIsWorthMore(t *testing.T) {
	i, b := fresh(nil)
	busy(i, 0, 1)
	i.flag = true
	i.Admit(0, 5, of(2))
	b.expectCalls(t, 1, "reject 2")
	b.expectCalls(t, 0, "reject 5")
}

func TestFlagNeedsSeveralCrossings(t *testing.T) {
	i, _ := fresh(nil)
	for n := range dampening {
		if i.flag {
			t.Fatalf("flag up after %d crossings", n)
		}
		i.sum[0], i.count[0] = 140, 10
		i.judge(time.Duration(n+1)*period, Gauges{Busy: -1})
		i.sum, i.count = [2]float64{}, [2]float64{}
	}
	if !i.flag {
		t.Error("flag still down")
	}
}

func TestSampleCountsUnfinishedStarts(t *testing.T) {
	i, _ := fresh(nil)
	busy(i, 0, 0)
	i.classes[0].base = 0.1
	i.judge(400*ms, Gauges{Busy: -1})
	if i.lag < 2.9 || i.lag > 3.1 {
		t.Errorf("lag %v, want 3: two runs of 400 ms so far over 100", i.lag)
	}
}

func TestStandstillSpoilsNoSample(t *testing.T) {
	i, _ := fresh(nil)
	i.sum[0], i.count[0] = 100, 2
	i.Tick(700*ms, Gauges{Busy: -1})
	if i.count[0] != 0 || i.lag != 0 {
		t.Error("the stretched sample was kept")
	}
}

func TestEveryItemIsAnsweredByItsDueTime(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.StopMode = settings.StopOff })
	busy(i, 0, 1)
	i.CallRequested(10*ms, 1)
	i.Admit(10*ms, 3, Request{MemoryKB: 1, Original: OriginalGone, Class: 1})
	i.Tick(2990*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "scrap 0")
	b.expectCalls(t, 1, "scrap 1")
	b.expectCalls(t, 1, "reject 2")
	b.expectCalls(t, 1, "scrap 3")
	i.Tick(3100*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "scrap 0")
}

func TestWhatIsGivenUpIsAnsweredAtOnce(t *testing.T) {
	i, b := fresh(nil)
	i.classes[0].span, i.classes[0].latency = 0.5, 0.5
	busy(i, 0, 1) // of 1 s of due time and 3 s of patience; a run of 0.5 s fits in no more from 0.6 s on
	i.Tick(500*ms, Gauges{Busy: -1})
	b.expectCalls(t, 0, "reject 2")
	i.Tick(700*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "reject 2")
	if strings.Contains(strings.Join(b.calls, "\n"), "after=0s") {
		t.Errorf("no word when to come back: %q", b.calls)
	}
	i.Tick(980*ms, Gauges{Busy: -1}) // and what runs past its use, two seconds before its patience is over
	b.expectCalls(t, 1, "scrap 0")
	b.expectCalls(t, 1, "scrap 1")
}

func TestReceiptIsRecordedBeforeTheRun(t *testing.T) {
	i, b := fresh(nil)
	i.Admit(0, 0, of(1))
	i.Dispatch(0)
	if len(b.calls) < 3 || b.calls[1] != "record 0 for 10.08s" || b.calls[2] != "start 0" {
		t.Errorf("%q", b.calls)
	}
}

func TestRepeatOfARunJoinsAndIsNeverRun(t *testing.T) {
	i, b := fresh(nil)
	i.Admit(0, 0, of(1))
	i.Dispatch(0)
	i.Admit(0, 1, Request{Class: 1, MemoryKB: 10, Original: 0})
	i.Admit(0, 2, Request{Class: 1, MemoryKB: 10, Original: OriginalGone})
	i.Dispatch(0)
	b.expectCalls(t, 1, "join 1")
	b.expectCalls(t, 1, "join 2")
	b.expectCalls(t, 1, "start 0")
	b.expectCalls(t, 0, "start 1")
}

func TestReceiptOfWhatWasNeverStartedGoes(t *testing.T) {
	for o, gone := range map[Outcome]int{NotStarted: 1, Failed: 0} {
		i, b := fresh(nil)
		i.Admit(0, 0, of(1))
		i.Dispatch(0)
		i.RunEnded(0, 0, o, 0)
		if b.expectCalls(t, gone, "forget 0"); len(i.entries) != 1-gone {
			t.Errorf("outcome %d leaves %d key entries", o, len(i.entries))
		}
		if seen := i.count[0] > 0; seen != (o != NotStarted) { // nor may it steer lag
			t.Errorf("outcome %d counts in lag: %v", o, seen)
		}
	}
}

func TestRepeatOfAHeldOneTakesItsPlace(t *testing.T) {
	i, b := fresh(nil)
	busy(i, 1, 1)
	i.Admit(0, 9, Request{Class: 1, MemoryKB: 10, Original: 2})
	b.expectCalls(t, 1, "reject 2")
	b.expectCalls(t, 0, "forget 2")
	b.expectCalls(t, 1, "record 9")
	if len(i.entries) != 3 {
		t.Errorf("%d key entries, want 3", len(i.entries))
	}
}

func TestNoRunWhereTheReceiptDoesNotFit(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(30) })
	i.Admit(0, 0, of(1))
	b.expectCalls(t, 1, "reject 0")
	b.expectCalls(t, 0, "record 0")
}

func TestWhatHasRunIsScrappedNotTurnedBack(t *testing.T) {
	i, b := fresh(nil)
	i.Admit(0, 0, of(2))
	i.Dispatch(0)
	i.CallRequested(0, 0)
	i.Dispatch(0)
	i.CallReturned(5*ms, 0, TimedOut, 5*ms)
	b.expectCalls(t, 1, "scrap 0")
	b.expectCalls(t, 0, "reject 0")
	i.Dispatch(5 * ms)
	b.expectCalls(t, 1, "call 0")
}

func TestCallThatNeverRanIsRepeated(t *testing.T) {
	i, b := fresh(nil)
	i.Admit(0, 0, of(2))
	i.Dispatch(0)
	i.CallRequested(0, 0)
	i.Dispatch(0)
	i.CallReturned(5*ms, 0, Rejected, 5*ms)
	i.Dispatch(5 * ms)
	b.expectCalls(t, 2, "call 0")
}

func TestNothingPastTheGraceRuns(t *testing.T) {
	i, b := fresh(nil)
	i.Drain(0, 5*time.Second)
	i.Admit(900*ms, 0, of(0))
	i.Admit(1100*ms, 1, of(0))
	i.Dispatch(1100 * ms)
	b.expectCalls(t, 1, "start 0")
	b.expectCalls(t, 1, "reject 1")
	b.expectCalls(t, 0, "start 1")
}

func TestAllIsAnsweredBeforeTheStop(t *testing.T) {
	i, b := fresh(nil)
	busy(i, 0, 1)
	i.Drain(0, 500*ms)
	i.Tick(420*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "scrap 0")
	b.expectCalls(t, 1, "scrap 1")
	b.expectCalls(t, 1, "reject 2")
}

func TestColdCrowdIsSmaller(t *testing.T) {
	cold, _ := fresh(func(s *settings.Settings) {
		s.Server.SlowStart = settings.True
		s.Server.SlowStartFraction = settings.NumberOf(0.2)
		s.Server.WarmUpTime = settings.NumberOf(10)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(8)
	})
	warm, _ := fresh(func(s *settings.Settings) { s.Server.MaxConcurrencyPerCore = settings.NumberOf(8) })
	if c, w := cold.ceiling(0), warm.ceiling(0); c != 3 || w != 12 {
		t.Errorf("ceilings %d and %d, want 3 and 12", c, w)
	}
}

func TestMemoryBoundsStartsAndHold(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.MemoryKB = settings.NumberOf(100)
		s.Server.Cores = settings.NumberOf(8)
	})
	for w := range RequestID(9) {
		i.Admit(0, w, of(0))
	}
	i.Dispatch(0)
	if i.memory > 95 {
		t.Errorf("%.0f of 100 kB in use", i.memory)
	}
	b.expectCalls(t, 1, "start 0")
}

func TestCallsStayWithinTheShareWithLingeringOnes(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(1.9) })
	busy(i, 0, 0)
	i.CallRequested(0, 0)
	i.CallRequested(0, 1)
	i.Dispatch(0)
	b.expectCalls(t, 2, "call")
	i.CallReturned(50*ms, 0, TimedOut, 50*ms)
	i.Dispatch(60 * ms)
	b.expectCalls(t, 2, "call")
	i.Tick(260*ms, Gauges{Busy: -1})
	i.Dispatch(260 * ms)
	b.expectCalls(t, 2, "call")
	i.Dispatch(500 * ms)
	b.expectCalls(t, 2, "call")
	i.Dispatch(600 * ms)
	b.expectCalls(t, 3, "call")
}

func TestCallsToATierBelowStayWithinTheCrowd(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) { s.Server.Dependency = settings.DependencyTier })
	if i.callShare != 6 { // three quarters of a crowd of four a core, on two cores
		t.Errorf("%v calls in hand", i.callShare)
	}
}

// All servers of a fleet have such a call out when what lies below slows: their sum must stay survivable.
func TestCallUnderAWholeShareIsCutBeforeItsPartIsUsed(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(0.5)
		s.Server.CallQuotaWindow = settings.NumberOf(5)
	})
	busy(i, 0, 0)
	i.CallRequested(0, 0)
	host := &patient{hostRecorder: &hostRecorder{}}
	i.host = host
	i.Dispatch(0)
	if host.patience != 800*ms { // 0.4 of half a call over five seconds, less 0.2 s in which it lingers
		t.Errorf("patience %v", host.patience)
	}
	used, end := 0.0, 5*time.Second
	for now := time.Duration(0); now < end; now += sweepGap { // every call ends late
		if i.items[0].state == calling && now >= host.at+host.patience {
			i.CallReturned(now, 0, TimedOut, host.patience)
			i.CallRequested(now, 0)
		}
		i.fails = 0
		host.now = now
		i.Tick(now, Gauges{Busy: -1})
		i.items[0].use, i.items[0].due = now+time.Second, now+time.Second
		i.Dispatch(now)
		used += float64(i.calls+len(i.lingering)) * sweepGap.Seconds()
	}
	if used > 2.5 {
		t.Errorf("%.2f call-seconds in a window of 5 s, 2.5 are survived", used)
	}
}

// patient keeps the patience of the last call.
type patient struct {
	*hostRecorder
	now, at, patience time.Duration
}

func (p *patient) Call(w RequestID, patience time.Duration) { p.at, p.patience = p.now, patience }

func TestShareUnderOneSpacesSingleCallsByTheirOwnTime(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(0.25) })
	busy(i, 0, 0)
	i.CallRequested(0, 0)
	i.CallRequested(0, 1)
	i.Dispatch(0)
	i.CallReturned(100*ms, 0, OK, 100*ms)
	i.Dispatch(780 * ms)
	b.expectCalls(t, 1, "call")
	i.Dispatch(820 * ms)
	b.expectCalls(t, 2, "call")
	i.CallReturned(822*ms, 1, OK, 2*ms)
	i.CallRequested(822*ms, 0)
	i.Dispatch(840 * ms)
	b.expectCalls(t, 3, "call")
}

func TestCallsStopAfterFailuresAndReturnByOneTrial(t *testing.T) {
	i, b := fresh(nil)
	i.fails, i.nextTrial = failures, 300*ms
	busy(i, 0, 0)
	i.CallRequested(0, 0)
	i.CallRequested(0, 1)
	i.Dispatch(0)
	b.expectCalls(t, 0, "call")
	i.Dispatch(300 * ms)
	b.expectCalls(t, 1, "call")
	i.CallReturned(310*ms, 0, OK, 10*ms)
	i.Dispatch(310 * ms)
	b.expectCalls(t, 2, "call")
}

func TestHeldStartByPayoffOverWork(t *testing.T) {
	i, b := fresh(nil)
	busy(i, 0, 0)
	i.Admit(0, 5, of(0))
	i.Admit(0, 6, of(2))
	i.RunEnded(10*ms, 0, Failed, 10*ms)
	i.Dispatch(10 * ms)
	b.expectCalls(t, 1, "start 6")
	b.expectCalls(t, 0, "start 5")
}

func TestCustomerBeyondItsShareComesLast(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(1)}, {Quota: settings.NumberOf(9)}}
		s.Server.OverQuotaWeight = settings.NumberOf(0.05)
	})
	for range 8 { // what may come at once
		i.tenants[0].Beyond(0, 1)
	}
	busy(i, 0, 0)
	i.Admit(0, 5, of(0))
	other := of(0)
	other.Tenant = 1
	i.Admit(0, 6, other)
	i.RunEnded(10*ms, 0, Failed, 10*ms)
	i.Dispatch(10 * ms)
	b.expectCalls(t, 1, "start 6")
}

func TestFreeValueFallsWhenNothingWaits(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.AdvertiseMode = settings.AdvertiseThreshold })
	i.shed, i.flag = 0.5, true
	i.adjust()
	i.say(0)
	b.expectCalls(t, 1, "free 0.400")
	i.rejected, i.missed, i.read = 10, 10, 20
	i.adjust()
	i.say(0)
	b.expectCalls(t, 1, "free 0.490")
}

func TestAbsurdSettingsDoNoHarm(t *testing.T) {
	b := &hostRecorder{}
	i := New(b, 0, settings.Settings{Server: settings.Server{Cores: settings.NumberOf(-1), MemoryKB: settings.NumberOf(math.NaN()), FleetSize: settings.NumberOf(0)}})
	i.Admit(0, 0, of(0))
	i.Admit(0, 1, of(5000))
	i.Dispatch(0)
	b.expectCalls(t, 1, "start 0")
	b.expectCalls(t, 1, "reject 1")
}

func TestStarvedHoldCountsInLag(t *testing.T) {
	i, _ := fresh(nil)
	busy(i, 0, 3)
	i.classes[0].base = 0.1
	i.items[0].began, i.items[1].began = -time.Hour, -time.Hour
	i.judge(600*ms, Gauges{Busy: -1})
	if i.lag < 5.9 || i.lag > 6.1 {
		t.Errorf("lag %v, want 6: three held for 600 ms over 100", i.lag)
	}
}

func TestJamBeforeReadingTellsCallersAtOnce(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.AdvertiseMode = settings.AdvertiseThreshold })
	i.unread = 0.5
	i.Tick(sweepGap, Gauges{Busy: -1, Runnable: -1})
	b.expectCalls(t, 1, "free 1.000")
	if got := i.room(0); got != 1 {
		t.Errorf("%d may start in a full jam, want half of two", got)
	}
}

func TestFreeValueIgnoresWhatHeedingCallersKeepAtHome(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) { s.Server.AdvertiseMode = settings.AdvertiseThreshold })
	i.flag, i.shed = true, 0.5
	low, high := of(0), of(0)
	low.Priority, high.Priority = 0.2, 0.7
	i.Admit(0, 0, low)
	i.Admit(0, 1, high)
	i.reject(0, 0, false)
	i.reject(0, 1, false)
	if i.rejected != 2 || i.missed != 1 {
		t.Errorf("%d rejected, %d missed, want 2 and 1", i.rejected, i.missed)
	}
}

func TestNewcomerWorthMoreDisplacesWhereMemoryIsShort(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(140) })
	busy(i, 0, 4)
	b.expectCalls(t, 0, "reject")
	i.Admit(0, 9, of(2))
	b.expectCalls(t, 1, "reject 2")
	b.expectCalls(t, 0, "reject 9")
}

func TestCutOffRunsAreLearned(t *testing.T) {
	i, _ := fresh(nil)
	busy(i, 0, 0)
	before := i.classes[0].latency
	i.scrap(900*ms, 0)
	if i.classes[0].latency <= before {
		t.Errorf("expected run still %v s", before)
	}
}

func TestIdleServerTriesALongGuess(t *testing.T) {
	i, b := fresh(nil)
	i.classes[0].perHint = 1
	long := of(0)
	long.CostHint = 20 * time.Second
	i.Admit(0, 0, long)
	i.Dispatch(0)
	b.expectCalls(t, 1, "start 0")
	i.Admit(0, 1, long)
	i.Dispatch(0)
	b.expectCalls(t, 1, "start 1") // on two cores half of them free would mean that nothing runs
	i.Admit(0, 2, long)
	i.Tick(20*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "reject 2")
}

func TestFreeCoreTriesALongGuessButNoLongRun(t *testing.T) {
	for hint, words := range map[time.Duration]string{20 * time.Second: "start 1", 0: "reject 1"} {
		i, b := fresh(nil)
		i.classes[0].perHint = 1
		i.classes[1].span, i.classes[1].latency = 5, 5 // by its recent runs and calls it can't end in time
		busy(i, 0, -1)
		work := of(0)
		if work.CostHint = hint; hint == 0 {
			work.Class = 1
		}
		i.Admit(0, 1, work)
		i.Dispatch(0)
		b.expectCalls(t, 1, words)
	}
}

func TestRoughHintCountsHalfWay(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) { s.Server.WeightPerWork = settings.False })
	i.classes[0].perHint, i.classes[0].latency, i.classes[0].span = 1, 0.1, 0.1
	long := of(0)
	long.CostHint = 1600 * ms // 16 times the mean run: taken for four times
	i.Admit(0, 0, long)
	if d := i.density(0, 0); d != 2 { // 1 over 0.4 s, to a power of two; by the hint itself it could not end
		t.Errorf("density %v", d)
	}
}

// judged lets a period pass for health alone.
func judged(i *Instance, unread, repeats float64) {
	i.unread, i.repeats = unread, repeats
	i.health()
}

func TestJammedServerLeavesTheListThatFollowsHealth(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.EndpointsFollowHealth = settings.True })
	for _, unread := range []float64{1, 0, 1, 0} { // no flapping
		judged(i, unread, 0)
	}
	b.expectCalls(t, 0, "health false")
	judged(i, 0.3, 0.5) // a light jam where many are repeats: others are no better off
	judged(i, 0.3, 0.5)
	b.expectCalls(t, 0, "health false")
	judged(i, 1, 0.5) // all that is read is late: no server is of less use
	judged(i, 1, 0.5)
	b.expectCalls(t, 1, "health false")
	judged(i, 0, 0)
	judged(i, 0, 0)
	b.expectCalls(t, 2, "health true")
	i.Drain(0, time.Second) // from now on nothing says that it is fit
	judged(i, 1, 0)
	judged(i, 1, 0)
	judged(i, 0, 0)
	judged(i, 0, 0)
	b.expectCalls(t, 2, "health true")
	i, b = fresh(nil)
	judged(i, 1, 0)
	judged(i, 1, 0)
	b.expectCalls(t, 0, "health false")
}

func TestLaterSettingsFindAllInHand(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.EndpointsFollowHealth = settings.True })
	here := i.server
	i.Admit(0, 0, of(1))
	i.Dispatch(0)
	i.Admit(0, 1, of(0))
	i.Tick(20*ms, Gauges{Busy: -1})
	judged(i, 1, 0)
	judged(i, 1, 0)
	learnt := i.classes[1]
	later := testutil.TypedSettings(func(s *settings.Settings) {
		s.Server.RunMemoryFactor, s.Server.KeyEntryKB = settings.NumberOf(8), settings.NumberOf(30)
		s.Server.AdvertiseMode, s.Server.CallQuota = settings.AdvertiseShare, settings.NumberOf(0.5)
		s.Classes[1].Weight = settings.NumberOf(7)
		s.Classes = append(s.Classes, settings.Class{Idempotency: settings.Idempotent})
	})
	i.SetServer(later.Server)
	for n, class := range later.Classes {
		i.SetClass(n, class)
	}
	if i.memory != 8*10+10+30 || i.callShare != 0.5 || len(i.classes) != 4 || !i.classes[3].keyed {
		t.Errorf("memory %v, share %v, %d classes", i.memory, i.callShare, len(i.classes))
	}
	if now := i.classes[1]; now.value != 7 || now.base != learnt.base || !now.keyed {
		t.Errorf("%+v, was %+v", now, learnt)
	}
	judged(i, 1, 0) // where the list does not follow it is fit again
	judged(i, 1, 0)
	b.expectCalls(t, 2, "health true")
	i.Tick(40*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "free") // again, in the form that now holds
	i.RunEnded(50*ms, 0, OK, 50*ms)
	i.Dispatch(50 * ms)
	i.RunEnded(90*ms, 1, OK, 40*ms)
	i.Tick(11*time.Second, Gauges{Busy: -1})
	i.SetServer(here)
	if i.memory != 0 || len(i.entries) != 0 {
		t.Errorf("memory %v, %d key entries left", i.memory, len(i.entries))
	}
}

func TestLeavingServerServesUntilItsGraceEnds(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.AdvertiseMode = settings.AdvertiseThreshold })
	i.Drain(0, 5*time.Second)
	i.Tick(100*ms, Gauges{Busy: -1})
	b.expectCalls(t, 0, "free")
	i.Tick(600*ms, Gauges{Busy: -1})
	b.expectCalls(t, 1, "free 1.000")
}

func TestJamEndsWhenACoreIsFreeToRead(t *testing.T) {
	i, _ := fresh(nil)
	i.unread = 1
	i.Tick(sweepGap, Gauges{Busy: -1, Runnable: 2})
	if i.unread != 1 {
		t.Error("jam fades though both cores read")
	}
	i.Tick(2*sweepGap, Gauges{Busy: -1, Runnable: 1})
	if i.unread >= 1 {
		t.Error("jam stays though a core is free to read")
	}
}

func TestNearlyEqualBandsAreEqual(t *testing.T) {
	i, _ := fresh(nil)
	i.classes[0].latency, i.classes[1].latency = 0.25, 0.26
	i.classes[1].value = 1
	i.Admit(0, 0, of(0))
	i.Admit(0, 1, of(1))
	if a, b := i.density(0, 0), i.density(0, 1); a != b {
		t.Errorf("densities %v and %v", a, b)
	}
}

func TestSlowCallsAreLeftOutWhereTheyCanBe(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Classes[0].DegradedWeight = settings.NumberOf(0.6) })
	i.callTook, i.calls = 0.2, 1
	i.Admit(0, 0, of(0))
	i.Admit(0, 1, of(1))
	i.Dispatch(0)
	i.CallRequested(0, 0)
	i.CallRequested(0, 1)
	i.Dispatch(0)
	b.expectCalls(t, 1, "omit 0")
	b.expectCalls(t, 1, "call 1")
}

func TestCallsThatTakeLongByNatureAreMadeWhereTheyFit(t *testing.T) {
	for took, omits := range map[time.Duration]int{300 * ms: 0, 1200 * ms: 1} {
		i, b := fresh(func(s *settings.Settings) {
			s.Classes[0].DegradedWeight = settings.NumberOf(0.6)
			s.Server.Dependency = settings.DependencyTier
		}) // a tier guards itself: slow is no crowd there
		i.callTook, i.calls = took.Seconds(), 1
		i.Admit(0, 0, of(0))
		i.Dispatch(0)
		i.CallRequested(0, 0)
		i.Dispatch(0)
		b.expectCalls(t, omits, "omit 0") // of 1 s of due time
		b.expectCalls(t, 1-omits, "call 0")
	}
}

func TestLongStandAndFailedCallAreLeftOut(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Classes[0].DegradedWeight = settings.NumberOf(0.6)
		s.Server.CallQuota = settings.NumberOf(1)
	})
	i.Admit(0, 0, of(0))
	i.Admit(0, 1, of(0))
	i.Dispatch(0)
	i.CallRequested(0, 0)
	i.CallRequested(0, 1)
	i.Dispatch(0)
	b.expectCalls(t, 1, "call") // the share has room for one
	i.Dispatch(160 * ms)
	b.expectCalls(t, 1, "omit 1")
	i.CallReturned(170*ms, 0, TimedOut, 170*ms)
	b.expectCalls(t, 1, "omit 0") // that it may have run is no bar: it is not called again
	b.expectCalls(t, 0, "scrap 0")
}

func TestMoreRunOnlyWhereRunsLeaveCoresIdleWhileWorkWaits(t *testing.T) {
	for _, c := range []struct {
		runnable float64 // of two cores
		held     int
		width    float64 // after a period that began with a width of 3 and ran 3
	}{{1, 1, 4}, {2, 1, 2}, {1.9, 1, 3}, {0, 0, 3}} {
		i, _ := fresh(nil)
		i.width = 3
		busy(i, 0, 1+c.held)
		i.done = 1
		for n := range 5 {
			i.Tick(time.Duration(n+1)*sweepGap, Gauges{Busy: 0.5, Runnable: c.runnable}) // half idle, as bursts are
		}
		if i.judge(period, Gauges{Busy: 0.5}); i.width != c.width {
			t.Errorf("%v want a core, %d held: width %v, want %v", c.runnable, c.held, i.width, c.width)
		}
	}
}

func TestSlowCallsUseLessOfTheShare(t *testing.T) {
	i, _ := fresh(nil)
	i.callTook = 0.2
	i.judge(period, Gauges{Busy: -1})
	if i.callUse < 0.79 || i.callUse > 0.81 {
		t.Errorf("%v of the share in use, want 0.8", i.callUse)
	}
	i.callTook = 0.01
	i.judge(2*period, Gauges{Busy: -1})
	if i.callUse < 0.89 || i.callUse > 0.91 {
		t.Errorf("%v of the share in use, want 0.9", i.callUse)
	}
}

func TestIdleServerStartsBehindStandingCalls(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(1)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	i.calls, i.width = 1, 9
	for w := range RequestID(5) {
		i.Admit(0, w, of(0))
		i.Dispatch(0)
		i.CallRequested(0, w)
	}
	b.expectCalls(t, 2, "start") // as many stand as there are cores
}

func TestNoFurtherCallerStartsBehindOneThatStands(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(1) })
	i.calls, i.onCores, i.width = 1, 1, 4
	i.Admit(0, 0, of(0))
	i.Dispatch(0)
	i.CallRequested(0, 0)
	i.Admit(0, 1, of(2))
	i.Dispatch(140 * ms)
	b.expectCalls(t, 0, "start 1")
	i.calls = 0
	i.Dispatch(160 * ms)
	b.expectCalls(t, 1, "start 1")
}

func TestJammedServerRefusesThoughNothingWaits(t *testing.T) {
	i, b := fresh(nil)
	i.unread = 10
	i.Admit(0, 0, of(0))
	b.expectCalls(t, 1, "reject 0")
}

func TestCallsTurnedAwayAtOnceAreNoFastCalls(t *testing.T) {
	i, _ := fresh(nil)
	i.callTook = 0.1
	busy(i, 0, 0)
	i.CallRequested(0, 0)
	i.Dispatch(0)
	i.CallReturned(ms, 0, Rejected, ms)
	if i.callTook != 0.1 {
		t.Errorf("calls' time fell to %v s", i.callTook)
	}
}

func TestNoBandsTold(t *testing.T) {
	b := &hostRecorder{}
	i := New(b, 0, settings.Settings{})
	i.Tick(sweepGap, Gauges{Busy: -1})
	i.Admit(sweepGap, 0, of(0))
	b.expectCalls(t, 0, "reject 0")
}

func TestRepeatsDoNotFillTheMemory(t *testing.T) {
	i, b := fresh(nil)
	i.memory = 949
	i.Admit(0, 0, Request{Class: 1, MemoryKB: 10, Original: OriginalGone})
	b.expectCalls(t, 0, "join 0")
	b.expectCalls(t, 0, "reject 0")
	b.expectCalls(t, 1, "scrap 0")
}

func TestIdleConnectionsGoSoonerWhileNoIntakeCrowdsTheRuns(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.CallerIdleTimeout = settings.NumberOf(30)
		s.Server.CallerCount = settings.NumberOf(1000)
	})
	i.doors() // no gauge, no change
	b.expectCalls(t, 0, "idle")
	i.ticks, i.intake = 25, 0
	i.doors()
	b.expectCalls(t, 1, "idle 3s")
	i.ticks, i.intake = 25, 25*2 // on two cores twice what is aimed at
	i.doors()
	b.expectCalls(t, 1, "idle 3.3s")
	i.ticks, i.intake = 25, 25/2 // half of it
	i.doors()
	b.expectCalls(t, 1, "idle 3.1s")
	i.ticks, i.sends = 25, 100 // callers come again before their connections would close
	i.doors()
	b.expectCalls(t, 1, "idle 30s")
}

func TestWindowIsSharedByTheCallersThatCame(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.AdvertiseMode = settings.AdvertiseWindow
		s.Server.CallerCount = settings.NumberOf(1000)
	})
	for w := range RequestID(2) {
		work := of(0)
		work.Caller = 7 + int(w)
		i.Admit(0, w, work)
	}
	i.shed = 0.5
	i.say(0)
	b.expectCalls(t, 1, "free 1.000") // two runs a core on two cores, half of it, for two callers
	i.shed = 0
	i.say(0)
	b.expectCalls(t, 1, "free 4.000") // all of it once calm, whoever comes
	i.judge(period, Gauges{Busy: -1})
	if len(i.from) != 0 {
		t.Error("callers of the last period are kept")
	}
}

func TestAnsweredRunLeavesTheCoresWhereAStopSuspends(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) { s.Server.StopMode = settings.StopSuspend })
	busy(i, 0, 0)
	i.Tick(990*ms, Gauges{Busy: -1}) // past use, before its due time
	b.expectCalls(t, 1, "scrap 0")
	b.expectCalls(t, 1, "stop 0")
}

func TestAbsurdFiguresLoseNoItem(t *testing.T) {
	for what, absurd := range map[string]func(*settings.Settings){
		"no fleet": func(s *settings.Settings) {
			s.Server.FleetSize, s.Tenants = settings.NumberOf(0), []settings.Tenant{{Quota: settings.NumberOf(5)}}
		},
		"no calls":       func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(0) },
		"negative calls": func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(-3) },
		"calls missing":  func(s *settings.Settings) { s.Server.CallQuota = settings.Number{} },
		"no window":      func(s *settings.Settings) { s.Server.CallQuotaWindow = settings.NumberOf(0) },
		"no memory":      func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(5) },
		"no classes":     func(s *settings.Settings) { s.Classes = nil },
		"no cores": func(s *settings.Settings) {
			s.Server.Cores, s.Server.MaxConcurrencyPerCore = settings.NumberOf(0), settings.NumberOf(0)
		},
		"huge fleet": func(s *settings.Settings) {
			s.Server.FleetSize, s.Server.CallerCount, s.Server.AdvertiseMode = settings.NumberOf(1e300), settings.NumberOf(1e300), settings.AdvertiseWindow
		},
		"huge idle time": func(s *settings.Settings) { s.Server.CallerIdleTimeout = settings.NumberOf(1e300) },
		"many tenants":   func(s *settings.Settings) { s.Tenants = make([]settings.Tenant, settings.MaxTenants) },
	} {
		i, b := fresh(absurd)
		i.Admit(0, 0, of(0))
		i.Dispatch(0)
		i.CallRequested(0, 0)
		for now := sweepGap; now < 3*time.Second; now += sweepGap {
			i.Tick(now, Gauges{Busy: 0.5, Runnable: 1})
			i.Dispatch(now)
		}
		if !(i.lag >= 0) || !(i.shed >= 0) || !(i.overCalled > -1e9) {
			t.Errorf("%s: lag %v, shed %v, calls over by %v", what, i.lag, i.shed, i.overCalled)
		}
		answers := 0
		for _, l := range b.calls {
			if strings.HasPrefix(l, "reject 0 ") || l == "scrap 0" {
				answers++
			}
		}
		if answers != 1 {
			t.Errorf("%s: %d answers, want 1, in %q", what, answers, b.calls)
		}
	}
}

// A call that had less time than calls take tells nothing of what lies below: such trials kept calls stopped for ever.
func TestCallCutShortIsNoFailureNorTrial(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(9)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	i.width, i.callTook, i.classes[0].base = 9, 0.2, 0.1
	busy(i, 0, 1)
	for w := range RequestID(3) {
		i.CallRequested(time.Duration(w)*ms, w)
	}
	i.fails, i.items[2].use, i.items[2].arrived = failures, 990*ms, 10*ms
	i.Dispatch(700 * ms)
	b.expectCalls(t, 1, "call 2") // the newest, though the others have stood longer
	i.CallReturned(710*ms, 2, TimedOut, 10*ms)
	if i.fails != failures || i.nextTrial != 0 || i.callTook != 0.2 {
		t.Errorf("%d failures, next trial at %v, calls take %v", i.fails, i.nextTrial, i.callTook)
	}
	i.CallRequested(710*ms, 2)
	i.Dispatch(711 * ms)
	b.expectCalls(t, 2, "call")
	i.CallReturned(960*ms, 2, TimedOut, 250*ms)
	if i.fails != failures+1 || i.callTook <= 0.2 {
		t.Errorf("%d failures, calls take %v", i.fails, i.callTook)
	}
}

func TestNoCallIsIssuedThatWouldBeCut(t *testing.T) {
	i, b := fresh(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(9)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	i.width, i.callTook = 9, 0.2
	busy(i, 0, 0)
	i.CallRequested(800*ms, 0)
	i.CallRequested(800*ms, 1)
	i.Dispatch(800 * ms)
	b.expectCalls(t, 1, "call") // one, as none is out; the other has 160 ms
	i.callTook = 0.1
	i.Dispatch(801 * ms)
	b.expectCalls(t, 2, "call")
}
