package intake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// host writes down what it is told, and holds the rules that no state may break.
type host struct {
	fail               func(format string, args ...any)
	lines              []string
	dials              []int
	credit             int
	dialling, up, left bool
	taking             bool
	wake               time.Duration
}

func (h *host) put(format string, args ...any) {
	h.lines = append(h.lines, fmt.Sprintf(format, args...))
}

func (h *host) Dial(b int) {
	if h.dialling || h.up || h.left {
		h.fail("dials while dialling %v, up %v, leaving %v", h.dialling, h.up, h.left)
	}
	h.dialling = true
	h.dials = append(h.dials, b)
}
func (h *host) Hangup(why string) {
	if !h.up {
		h.fail("hangs up without a connection")
	}
	h.up, h.taking = false, false
	h.put("hangup %s", why)
}
func (h *host) Consume(credit int) {
	if !h.up || h.left {
		h.fail("consumes while up %v, leaving %v", h.up, h.left)
	}
	h.credit, h.taking = credit, true
	h.put("consume %d", credit)
}
func (h *host) Pause() {
	if !h.taking {
		h.fail("pauses what does not consume")
	}
	h.taking = false
	h.put("pause")
}
func (h *host) Wake(at time.Duration)          { h.wake = at }
func (h *host) Log(format string, args ...any) { h.put("log "+format, args...) }

func make3(t *testing.T) (*Intake, *host) {
	h := &host{fail: t.Errorf}
	return New(h, 7, Told{Brokers: 3, Least: 4, Most: 64, Silence: 5 * time.Second}), h
}

// stands brings it up to the first broker.
func stands(t *testing.T) (*Intake, *host) {
	i, h := make3(t)
	i.Ready(0, true, 0, 100)
	h.dialling, h.up = false, true
	i.Up(0)
	return i, h
}

// spell ends so many messages in a second that stood here for the time, with as many out as the credit lets in.
func spell(i *Intake, now *time.Duration, n int, took time.Duration, fate Fate) {
	for range 2 {
		i.Read(i.Credit() - i.Out())
		for range n / 2 {
			i.Ended(*now, fate, took, 0)
			i.Read(1)
		}
		*now += period
		i.Tick(*now)
	}
}

func TestCreditGrowsWhileItIsAllUsedAndNothingStands(t *testing.T) {
	i, h := stands(t)
	now := time.Duration(0)
	for range 30 {
		spell(i, &now, 100, 10*ms, Done)
	}
	if i.Credit() != 64 || h.credit != 64 {
		t.Errorf("credit %d", i.Credit())
	}
	for range 3 { // each takes longer the more of them are here: they stand for nothing
		spell(i, &now, 100, 300*ms, Done)
	}
	for range 8 {
		spell(i, &now, 100, 100*ms, Done)
	}
	if i.Credit() >= 32 {
		t.Errorf("credit %d though most of it stands", i.Credit())
	}
}

func TestCreditStaysWhereItIsNotUsed(t *testing.T) {
	i, _ := stands(t)
	for now := time.Duration(0); now < 20*time.Second; now += period {
		i.Read(1)
		i.Ended(now, Done, 10*ms, 0)
		i.Tick(now)
	}
	if i.Credit() != 4 {
		t.Errorf("credit %d", i.Credit())
	}
}

func TestTurnedBackHalvesTheCreditAndPausesForTheAdvice(t *testing.T) {
	i, h := stands(t)
	now := time.Duration(0)
	for range 30 {
		spell(i, &now, 100, 10*ms, Done)
	}
	i.Read(10)
	i.Ended(now, Returned, ms, 700*ms)
	if h.taking {
		t.Fatal("goes on taking")
	}
	i.Tick(now + 699*ms)
	if h.taking || i.Credit() != 0 {
		t.Error("resumes before the advice is over")
	}
	i.Tick(now + 700*ms)
	if !h.taking || h.credit != 32 {
		t.Errorf("taking %v, credit %d", h.taking, h.credit)
	}
	i.Ended(now+time.Second, Returned, ms, time.Hour) // no advice stops it for good
	i.Tick(now + time.Second + mostPause)
	if !h.taking {
		t.Error("pauses for longer than mostPause")
	}
}

func TestPausesAndResumes(t *testing.T) {
	for name, step := range map[string]func(i *Intake, now time.Duration, on bool){
		"not ready": func(i *Intake, now time.Duration, on bool) { i.Ready(now, !on, 0, 100) },
		"crowded": func(i *Intake, now time.Duration, on bool) {
			i.Ready(now, true, map[bool]int{true: 90, false: 69}[on], 100)
		},
		"blocked": func(i *Intake, now time.Duration, on bool) { i.Blocked(now, on) },
	} {
		i, h := stands(t)
		step(i, 10*time.Second, true)
		if h.taking {
			t.Errorf("%s: goes on", name)
		}
		step(i, 10*time.Second+resumeGap/2, false)
		if h.taking {
			t.Errorf("%s: flaps", name)
		}
		i.Tick(10*time.Second + resumeGap)
		if !h.taking {
			t.Errorf("%s: does not resume", name)
		}
	}
	i, h := stands(t)
	i.Ready(0, true, 90, 100)
	i.Ready(time.Second, true, 80, 100) // between the two bounds it stays as it is
	i.Tick(2 * time.Second)
	if h.taking {
		t.Error("resumes at the edge")
	}
}

func TestBrokersAreTriedInTurnEachAfterItsWait(t *testing.T) {
	i, h := make3(t)
	i.Ready(0, true, 0, 100)
	now, last := time.Duration(0), map[int]time.Duration{}
	var gaps []time.Duration
	for len(h.dials) < 30 {
		b := h.dials[len(h.dials)-1]
		if at, ok := last[b]; ok && b == 0 {
			gaps = append(gaps, now-at)
		}
		last[b] = now
		h.dialling = false
		n := len(h.dials)
		for i.Failed(now, Unreached, "nobody"); len(h.dials) == n; i.Tick(now) {
			now = h.wake
		}
	}
	if fmt.Sprint(h.dials[:3]) != "[0 1 2]" {
		t.Errorf("dials %v", h.dials)
	}
	if first, tail := gaps[0], gaps[len(gaps)-1]; first > 200*ms || tail < mostWait/2 || tail > 2*mostWait {
		t.Errorf("gaps %v", gaps)
	}
}

func TestRefusedLoginWaitsLongAndGoodTimeForgives(t *testing.T) {
	h := &host{fail: t.Errorf}
	i := New(h, 7, Told{Brokers: 1, Least: 1, Most: 1, Silence: time.Second})
	i.Ready(0, true, 0, 1)
	h.dialling = false
	if i.Failed(0, Refused, "login"); i.dialAt < refusedFor/2 {
		t.Errorf("dials again after %v", i.dialAt)
	}
	now := i.dialAt
	for n := range 10 {
		i.Tick(now)
		h.dialling, h.up = false, true
		i.Up(now)
		if n == 9 {
			now += goodTime
		}
		h.up, h.taking = false, false
		i.Failed(now, Broken, "reset")
		if wait := i.dialAt - now; n == 8 && wait < mostWait/4 || n == 9 && wait > 2*leastWait {
			t.Errorf("loss %d: dials after %v", n, wait)
		}
		now = i.dialAt
	}
}

func TestSilentBrokerIsGivenUp(t *testing.T) {
	i, h := stands(t)
	i.Asked(0)
	i.Asked(0)
	i.Answered(4 * time.Second)
	i.Tick(8 * time.Second)
	if !h.up {
		t.Fatal("given up though it answers")
	}
	i.Tick(9*time.Second + ms)
	if h.up || !strings.Contains(strings.Join(h.lines, "\n"), "no answer for 5s") {
		t.Errorf("not given up: %q", h.lines)
	}
}

func TestCancelledConsumerIsTakenUpAgain(t *testing.T) {
	i, h := stands(t)
	i.Cancelled(0)
	if h.taking || !h.up {
		t.Errorf("taking %v, up %v", h.taking, h.up)
	}
	if i.Tick(cancelledFor); !h.taking {
		t.Error("not taken up again")
	}
}

func TestBlockedBrokerIsNotTakenForSilent(t *testing.T) {
	i, h := stands(t)
	i.Asked(0)
	i.Blocked(time.Second, true)
	i.Tick(time.Minute)
	i.Blocked(time.Minute, false)
	i.Tick(time.Minute + 4*time.Second)
	if !h.up {
		t.Fatal("given up while it was blocked")
	}
	if i.Tick(time.Minute + 6*time.Second); h.up {
		t.Error("not given up after that")
	}
}

func TestAfterLeaveNothingIsTakenOrDialled(t *testing.T) {
	i, h := stands(t)
	i.Leave(0)
	h.left = true
	if h.taking {
		t.Error("goes on taking")
	}
	h.up = false
	i.Failed(ms, Broken, "reset")
	for now := ms; now < time.Minute; now += period {
		i.Tick(now)
	}
}

// Whatever comes in whatever order, the host's rules hold; and once all is well again it takes work within bounds.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &host{fail: t.Fatalf}
		told := Told{Brokers: rapid.IntRange(1, 4).Draw(t, "brokers"), Least: rapid.IntRange(1, 8).Draw(t, "least"), Silence: time.Second}
		told.Most = told.Least + rapid.IntRange(0, 100).Draw(t, "more")
		i := New(h, rapid.Uint64().Draw(t, "seed"), told)
		now := time.Duration(0)
		fail := func(far Far) {
			h.dialling, h.up, h.taking = false, false, false
			i.Failed(now, far, "broken")
		}
		ready := false
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "span"))
				i.Tick(now)
			},
			"ready": func(t *rapid.T) {
				ready = rapid.Bool().Draw(t, "ready")
				i.Ready(now, ready, rapid.IntRange(0, 100).Draw(t, "items"), 100)
			},
			"answer": func(t *rapid.T) {
				switch {
				case h.dialling && rapid.Bool().Draw(t, "up"):
					h.dialling, h.up = false, true
					i.Up(now)
				case h.dialling:
					fail(Far(rapid.IntRange(0, 1).Draw(t, "far")))
				case h.up:
					fail(Broken)
				}
			},
			"messages": func(t *rapid.T) {
				for n := i.Credit() - i.Out(); n > 0 && h.taking; n-- {
					i.Read(1)
				}
				for n := rapid.IntRange(0, i.Out()).Draw(t, "ended"); n > 0; n-- {
					i.Ended(now, Fate(rapid.IntRange(0, 2).Draw(t, "fate")), time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")), 2*time.Second)
				}
			},
			"owes":    func(*rapid.T) { i.Asked(now) },
			"answers": func(*rapid.T) { i.Answered(now) },
			"blocked": func(t *rapid.T) { i.Blocked(now, rapid.Bool().Draw(t, "blocked")) },
			"cancel":  func(*rapid.T) { i.Cancelled(now) },
			"nonsense": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "nonsense") == 0 {
					i.Senseless(now, "nonsense")
				}
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
					i.Leave(now)
					h.left = true
				}
			},
			"": func(t *rapid.T) {
				if h.taking && (h.credit < told.Least || h.credit > told.Most || h.credit != i.Credit()) {
					t.Fatalf("credit %d of %d to %d, and %d told", h.credit, told.Least, told.Most, i.Credit())
				}
				if h.taking && !ready {
					t.Fatal("takes though the instance is not ready")
				}
				if i.Out() < 0 || h.wake > now+period {
					t.Fatalf("out %d, wake %v at %v", i.Out(), h.wake, now)
				}
			},
		})
		if h.left {
			return
		}
		i.Blocked(now, false)
		i.Ready(now, true, 0, 100)
		for end := now + 2*time.Minute; now < end && !h.taking; {
			now = max(h.wake, now+ms)
			if i.Tick(now); h.dialling {
				h.dialling, h.up = false, true
				i.Up(now)
			}
		}
		if !h.taking {
			t.Fatalf("takes nothing though all is well: %+v", i)
		}
	})
}
