package simhost

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
)

// The simulator parses these lines: names, fields and their order are fixed by its protocol.
func TestActionsAreEncodedAsInTheProtocol(t *testing.T) {
	const ticket = 4000000000
	h := &host{startedAt: 1500 * time.Millisecond, requests: newRequestIDs()}
	id := h.requests.assign(ticket)
	for want, act := range map[string]func(){
		"RUN ticket=4000000000":                         func() { h.Start(id) },
		"TAKE_OFF ticket=4000000000":                    func() { h.Stop(id) },
		"ERROR ticket=4000000000":                       func() { h.Fail(id) },
		"OMIT ticket=4000000000":                        func() { h.SkipCall(id) },
		"RELEASE_KEY ticket=4000000000":                 func() { h.ForgetKey(id) },
		"ATTACH ticket=4000000000":                      func() { h.Coalesce(id) },
		"CALL_DEP ticket=4000000000 patience_s=0.25":    func() { h.Call(id, 250*time.Millisecond) },
		"RECORD_KEY ticket=4000000000 for_time_s=10.08": func() { h.RecordKey(id, 10080*time.Millisecond) },
		"NOT_NOW ticket=4000000000 pause_s=0.000001 final=1": func() {
			h.Reject(id, policy.Rejection{RetryAfter: 1999, NoRetryElsewhere: true})
		},
		"NOT_NOW ticket=4000000000 pause_s=0 final=0": func() { h.Reject(id, policy.Rejection{}) },
		"FITNESS stored=1 on=0":                       func() { h.SetHealth(policy.Health{SkipSelfTest: true}) },
		"IDLE for_time_s=3.1":                         func() { h.SetIdleTimeout(3100 * time.Millisecond) },
		"SIGNAL value=0.125":                          func() { h.Advertise(0.125) },
		"NOTIFY_ME alarm_time_s=1.52 ref=1":           func() { h.Wake(20 * time.Millisecond) },
		"DEBUG text=calls resumed took=1s n=2": func() {
			h.Log("calls resumed", zap.Duration("took", time.Second), zap.Int("n", 2))
		},
	} {
		h.out = h.out[:0]
		act()
		if got := strings.TrimSuffix(string(h.out), "\n"); got != want {
			t.Errorf("wrote %q, want %q", got, want)
		}
	}
}

func TestReleasedRequestIDIsReused(t *testing.T) {
	h := &host{requests: newRequestIDs()}
	first := h.requests.assign(7)
	second := h.requests.assign(8)
	h.Release(first)
	if _, isKnown := h.requests.byTicket[7]; isKnown {
		t.Error("ticket 7 is still known after its request id was released")
	}
	if again := h.requests.assign(9); again != first || again == second || h.requests.tickets[again] != 9 {
		t.Errorf("request id %d for ticket %d, want the released id and ticket 9", again, h.requests.tickets[again])
	}
}

func TestOriginalOfRetryIsFoundByTicket(t *testing.T) {
	h := &host{requests: newRequestIDs()}
	id := h.requests.assign(7)
	for ticket, want := range map[uint64]policy.RequestID{0: policy.NoOriginal, 7: id, 8: policy.OriginalGone} {
		if got := h.original(ticket); got != want {
			t.Errorf("original with ticket %d: request id %d, want %d", ticket, got, want)
		}
	}
}

// Sends each kind of event of an instance, and checks the actions in the replies.
func TestEventsReachTheInstance(t *testing.T) {
	const settings = `{"classes":[{"repeat":"repeatable","worth":1,"aim_s":1,"deadline_s":3}],` +
		`"domain":{"cores":1,"ram_kb":1000,"calls_by_class":[true],"depends_on":"shared","dep_share":5,` +
		`"halt":"abort","gauges":["cpu_busy","runnable"]}}`
	in := strings.Join([]string{
		"BEGIN_BATCH moment_s=1",
		"FOR instance=3",
		"CONFIGURE init_seed=9 info=" + settings,
		"REQ ticket=7 cls=0 size_kb=1",
		"EOF_BATCH",
		"BEGIN_BATCH moment_s=1.01",
		"FOR instance=3",
		"AWAITING ticket=7",
		"EOF_BATCH",
		"BEGIN_BATCH moment_s=1.02",
		"FOR instance=3",
		"ALARM ref=1 server_stats=0.5,1",
		"RETURNED ticket=7 disposition=ok elapsed_s=0.01",
		"EOF_BATCH",
		"BEGIN_BATCH moment_s=1.03",
		"FOR instance=3",
		"LAPSED ticket=7",
		"LAME_DUCK budget_s=2",
		"EOF_BATCH",
	}, "\n") + "\n"
	out, err := serve(t, in)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"RUN ticket=7", "CALL_DEP ticket=7 patience_s=0.95", "NOTIFY_ME alarm_time_s=1.04 ref=1",
		"TAKE_OFF ticket=7", "FITNESS stored=1 on=0",
	} {
		if strings.Count(out, line+"\n") != 1 {
			t.Errorf("want %q exactly once in the output:\n%s", line, out)
		}
	}
}
