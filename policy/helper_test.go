package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// book is a host that writes down what it is told to do.
type book struct{ lines []string }

func (b *book) put(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

func (b *book) Start(w int) { b.put("start %d", w) }
func (b *book) Stop(w int)  { b.put("stop %d", w) }
func (b *book) TurnBack(w int, comeBack time.Duration, no bool) {
	b.put("back %d no=%v after=%v", w, no, comeBack)
}
func (b *book) Scrap(w int)                      { b.put("scrap %d", w) }
func (b *book) Call(w int, p time.Duration)      { b.put("call %d", w) }
func (b *book) LeaveOut(w int)                   { b.put("omit %d", w) }
func (b *book) Record(w int, life time.Duration) { b.put("record %d for %v", w, life) }
func (b *book) Forget(w int)                     { b.put("forget %d", w) }
func (b *book) Join(w int)                       { b.put("join %d", w) }
func (b *book) Health(good, stored bool)         { b.put("health %v", good) }
func (b *book) Idle(after time.Duration)         { b.put("idle %v", after) }
func (b *book) Free(v float64)                   { b.put("free %.3f", v) }
func (b *book) Wake(at time.Duration)            {}
func (b *book) Release(w int)                    { b.put("release %d", w) }
func (b *book) Log(format string, args ...any)   { b.put("log "+format, args...) }

// wants fails unless exactly n lines start with the text.
func (b *book) wants(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, l := range b.lines {
		if l == text || strings.HasPrefix(l, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, b.lines)
	}
}

// told is a server of two cores; band 0 is pure, 1 receipted, 2 effectful.
func told(more map[string]any) map[string]any {
	m := map[string]any{"cores": 2.0, "memory_kb": 1000.0, "run_memory": 4.0, "receipt_kb": 20.0,
		"crowd": 4.0, "stop_mode": "abort", "come_back_s": 1.0, "below": "shared", "calls_share": 2.0,
		"calls_linger_s": 0.2, "grace_s": 1.0, "band.count": 3.0}
	for n, kind := range []string{"pure", "receipted", "effectful"} {
		at := fmt.Sprintf("band.%d.", n)
		m[at+"kind"], m[at+"payoff"], m[at+"due_s"] = kind, float64(n+1), 1.0
		m[at+"patience_s"], m[at+"window_s"], m[at+"calls"] = 3.0, 10.0, true
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

func fresh(more map[string]any) (*Instance, *book) {
	b := &book{}
	return New(b, 7, told(more)), b
}

func of(band int) Work { return Work{Band: band, KB: 10, Forerunner: NoForerunner} }

// busy fills the cores with work items from index at, and holds n more.
func busy(i *Instance, band, n int) {
	for w := range 2 + n {
		i.Arrived(0, w, of(band))
	}
	i.Settle(0)
}
