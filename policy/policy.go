// Package policy decides, inside one server, which work items run, wait or are turned back.
//
// The adapter makes one Instance with New and calls one method for each thing that happens (Arrived, Ended,
// AtCall, Returned, CallerGone, Retold, Leave, Tick), then Settle once all that came in together was told. It
// acts through the Host it was given: host.go. Times are spans since the start. Design: docs/design.md.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	ms                   = time.Millisecond
	sweepGap             = 20 * ms  // between two Ticks
	period               = 500 * ms // between two samples of lag
	duePart              = 0.4      // of the bands' due times, in base latencies: lag over it is a crossing
	baseDrift            = 0.003    // a base latency's way back to the recent one, a period
	dampening            = 2        // crossings in a row before the flag goes up
	shedGain             = 0.3      // part of the share turned back that the free value takes over a period
	margin               = 40 * ms  // answers leave so long before they are due
	stall                = 100 * ms // a Tick so late tells of a standstill
	leastIdle            = 0.1      // part of the callers' own time after which idle connections close, at first
	intakePart, doorGain = 0.5, 0.1 // connections and reads in hand a core, aimed at; change a period
	everywhere           = 0.05     // share turned back over which other servers are taken to be no better off
	repeatsElse          = 0.1      // the same told by the share of marked repeats read, for the list
	shareSlack           = 8.0      // items of a customer that may come at once, if two seconds' share is less

	shedDown, shedEase, shedMost    = 0.1, 0.03, 0.95 // free value: down a calm period, a light one; most
	busyRoom, busyFull              = 0.9, 0.97       // cores so busy let one more run, one fewer
	leastPause, leastLimit, idleTry = 0.05, 0.5, 0.01 // advice, seconds; threshold; chance on an idle server
	jamFrom, jamFull, jamTold       = 0.15, 0.5, 0.5  // unread waits in due times: begins, full; logged from
	jamCut, jamFade                 = 0.5, 0.9        // of those that run, in a full jam; wait left a Tick
	again, crowdPart                = 0.25, 0.75      // payoff of a marked repeat; part used of the crowd
	leastFit, fill                  = 0.8, 0.95       // of its run that must fit; of memory that is used
	failures, trialGap              = 5, 500 * ms     // calls failed in a row before they stop; between trials
	leastSaid, leastWindow          = 0.01, 0.1       // change of the free value worth saying; a caller's window
	callSlow                        = 0.1             // of a due time: slow calls
	leastCalls                      = 0.05            // of the share of calls: least used
	partUse, savedCalls, partCall   = 0.5, 0.1, 0.4   // of a part of a call: steady use; saved up; by one call
	meanCalls                       = 0.9             // of the share in use, in the mean
	callsUp, callsDown, leastShare  = 0.1, 0.8, 0.001 // share of calls: grows by a period, is cut to; least told
)

type state uint8

const (
	absent  state = iota
	held          // waits for a start
	running       // on the cores, or at its disk
	atCall        // stands at a call that is not out
	calling       // its call is out
	joined        // waits for its forerunner's result
)

type item struct {
	Work
	state                 state
	arrived, due, use     time.Duration // use: an answer after this is late
	began, wait, callTime time.Duration
	since, receiptEnds    time.Duration // since: at a call since
	answered, ran, beyond bool
}

type band struct {
	kind                                string
	payoff                              float64
	due, patience, window               time.Duration
	calls                               bool
	base, latency, span, perHint, ended float64 // seconds: least seen, recent run less calls, recent run
}

type customer struct{ rate, tokens, seen float64 }

// Instance is the decisions of one server.
type Instance struct {
	host      Host
	told      map[string]any
	bands     []band
	customers []customer
	items     []item          // by index; as long as the most live at one time
	held      []int           // emptied by a start, a turn-back or the caller's leaving
	standing  []int           // at a call not out; emptied by the call or an answer
	receipts  []time.Duration // ends of those in the key table; emptied by time and by Forget
	lingering []time.Duration // ends of calls given up; emptied by time
	from      map[int]bool    // callers read in this period; emptied each period
	chance    uint64

	cores, onCores, calls, crossings, fails, jams int

	memory, ram, size, width      float64    // size: kilobytes of a held work item, lately; width: how many run
	callShare, callUse, callTook  float64    // calls out in the mean, the part in use, their recent time
	overCalled, sends             float64    // call-seconds used beyond the share; reads a period, lately
	sum, count                    [2]float64 // latency ratios of ended starts: this period's, the last's
	unread, turnedShare, repeats  float64    // lately: seconds unread, share of the read, of marked repeats
	read, marked, turned, missed  int        // in this period, as done (runs) and
	done, waited                  int        // waited (Ticks that found work waiting for a start)
	lag, limit, shed, said        float64    // limit: the threshold of lag
	open, intake, ticks           float64    // idle time, as a part; a period's sum of intake in hand
	flag, jammed, unfit, stops    bool       // stops: a run can be taken off the cores
	nextTrial, nextSample, wanted time.Duration
	metered, grace, stopAt, idle  time.Duration
}

// New makes the instance of a server that has just started.
func New(h Host, seed uint64, told map[string]any) *Instance {
	i := &Instance{host: h, chance: seed&0xffffffff | 1<<32, stopAt: math.MaxInt64, grace: math.MaxInt64,
		callUse: 1, open: leastIdle, nextSample: period, wanted: sweepGap, from: map[int]bool{}}
	i.take(told)
	i.width = float64(i.cores)
	h.Health(true, true)
	h.Wake(i.wanted)
	return i
}

// Retold: later settings are in force. Bands and customers keep their indices, new ones come behind; what is
// in hand goes on, its due times and receipts as they were. The memory is counted anew by the later figures.
func (i *Instance) Retold(told map[string]any) {
	i.take(told)
	i.memory = float64(len(i.receipts)) * i.num("receipt_kb", 0)
	for w := range i.items {
		if it := &i.items[w]; it.state != absent {
			i.memory += it.KB
			if it.state != held && it.state != joined {
				i.memory += it.KB * (i.num("run_memory", 1) - 1)
			}
		}
	}
	i.said, i.idle = math.Inf(1), 0 // said anew, in the form that now holds
}

// take reads the settings, into what stands where something does.
func (i *Instance) take(told map[string]any) {
	i.told, i.stops = told, told["stop_mode"] == "abort" || told["stop_mode"] == "suspend"
	i.cores = int(min(max(i.num("cores", 1), 1), 4096))
	i.ram = max(i.num("memory_kb", 1e6), 1)
	switch i.callShare = 1e6; told["below"] {
	case "shared":
		i.callShare = max(i.num("calls_share", 1), leastShare)
	case "tier":
		i.callShare = max(math.Floor(i.num("crowd", 2)*float64(i.cores)*crowdPart), 1)
	}
	for n := range int(min(max(i.num("band.count", 1), 1), 1000)) {
		if n == len(i.bands) {
			first := max(i.span(fmt.Sprintf("band.%d.due_s", n), 1).Seconds()/4, 1e-3) // until some have ended
			i.bands = append(i.bands, band{latency: first, base: first, span: first})
		}
		at, b := fmt.Sprintf("band.%d.", n), &i.bands[n]
		b.kind, _ = told[at+"kind"].(string) // what is no kind told here is as good as effectful
		b.payoff, b.calls = i.num(at+"payoff", 1), told[at+"calls"] == true
		b.due, b.patience, b.window = i.span(at+"due_s", 1), i.span(at+"patience_s", 2), i.span(at+"window_s", 10)
	}
	for n := range int(min(i.num("customer.count", 0), 10000)) {
		if n == len(i.customers) {
			i.customers = append(i.customers, customer{seen: -1e9})
		}
		i.customers[n].rate = i.num(fmt.Sprintf("customer.%d.share_per_s", n), 0) / max(i.num("fleet", 1), 1)
	}
}

func (i *Instance) num(name string, otherwise float64) float64 {
	if x, ok := i.told[name].(float64); ok && x >= 0 && !math.IsInf(x, 0) {
		return x
	}
	return otherwise
}

func (i *Instance) span(name string, otherwise float64) time.Duration {
	return time.Duration(min(i.num(name, otherwise), 1e9) * 1e9)
}

func (i *Instance) random() float64 { // by multiply with carry, 0 to under 1
	i.chance = (i.chance&0xffffffff)*4294957665 + i.chance>>32
	return float64(i.chance&0xffffffff) / (1 << 32)
}

// Arrived takes a work item that has been read. Everything that can be decided is decided here.
func (i *Instance) Arrived(now time.Duration, w int, work Work) {
	i.items = append(i.items, make([]item, max(w+1-len(i.items), 0))...)
	it := &i.items[w]
	*it = item{Work: work, state: held, arrived: now - work.Waited}
	i.memory += work.KB
	i.read++
	i.from[work.From] = true
	if work.Repeat {
		i.marked++
	}
	if work.Band < 0 || work.Band >= len(i.bands) {
		i.turnBack(now, w, true)
		return
	}
	b := &i.bands[work.Band]
	it.due = max(it.arrived+b.patience, now)
	if work.Patience > 0 {
		it.due = now + work.Patience
	}
	it.due, it.use = min(it.due, i.stopAt), min(it.arrived+b.due-margin, it.due, i.stopAt)
	it.beyond = i.overShare(now, work)
	learn(&i.size, work.KB, 15)
	learn(&i.unread, work.Waited.Seconds(), 3)
	switch first := work.Forerunner; {
	case first == NoForerunner:
	case first >= 0 && first < len(i.items) && i.items[first].state == held && !i.items[first].ran:
		// A caller that asks again has given up on the try still held: the newer takes its place.
		it.use = min(it.due, i.items[first].use)
		it.receiptEnds, i.items[first].receiptEnds = i.items[first].receiptEnds, 0
		i.record(now, it, w)
		i.turnBack(now, first, false)
	case i.fits(0):
		it.state = joined
		i.host.Join(w)
		return
	default: // repeats must not fill the memory, and what may have run is never turned back
		i.host.Scrap(w)
		i.drop(w)
		return
	}
	if late := it.arrived > i.grace; late || now >= it.due-margin {
		i.turnBack(now, w, !late)
		return
	}
	// The cached flag refuses at entry. Departure, as it is blind to payoff: the least of the held
	// goes in place of a newcomer worth more. So it does in a jam, and where memory is short.
	// The memory that the starts still open need is left free, or held work would block them.
	need := i.receiptKB(it) + float64(max(int(i.width)-i.onCores, 1))*i.size*(i.num("run_memory", 1)-1)
	for full := i.flag && i.waiting() > 0 || i.random() < i.jam(); full || !i.fits(need); full = false {
		least := slices.MinFunc(append([]int{w}, i.held...), i.byDensity(now, 1))
		// No other server helps what was elsewhere already, nor where so much is turned back here.
		i.turnBack(now, least, i.items[least].Repeat || i.turnedShare > everywhere)
		if least == w {
			return
		}
	}
	i.held = append(i.held, w)
	if it.receiptEnds == 0 {
		i.record(now, it, w)
	}
}

// record enters a receipt before the run, so that a repeat of a held one is known too.
func (i *Instance) record(now time.Duration, it *item, w int) {
	b := &i.bands[it.Band]
	life := it.arrived + b.window + 2*margin - now
	if i.receiptKB(it) == 0 || life <= 0 {
		return
	}
	i.dropReceipt(it)
	it.receiptEnds = now + life
	i.receipts = append(i.receipts, it.receiptEnds)
	i.memory += i.num("receipt_kb", 0)
	i.host.Record(w, life)
}

func (i *Instance) receiptKB(it *item) float64 {
	if i.bands[it.Band].kind == "receipted" {
		return max(i.num("receipt_kb", 0), 0.001)
	}
	return 0
}

func (i *Instance) dropReceipt(it *item) {
	if it.receiptEnds != 0 && slices.Contains(i.receipts, it.receiptEnds) {
		i.receipts = without(i.receipts, it.receiptEnds)
		i.memory -= i.num("receipt_kb", 0)
	}
	it.receiptEnds = 0
}

func (i *Instance) overShare(now time.Duration, work Work) bool {
	if work.Customer < 0 || work.Customer >= len(i.customers) || i.customers[work.Customer].rate <= 0 {
		return false
	}
	c := &i.customers[work.Customer]
	c.tokens = min(c.tokens+c.rate*(now.Seconds()-c.seen), max(2*c.rate, shareSlack))
	c.seen = now.Seconds()
	if c.tokens < 1 {
		return true
	}
	c.tokens--
	return false
}

func (i *Instance) fits(kb float64) bool { return i.memory+kb <= fill*i.ram }

// room is how many more may start now. The survived crowd is the ceiling, with those at calls
// counted since they all may come back at once.
func (i *Instance) room(now time.Duration) int {
	return min(int(i.width*(1-jamCut*i.jam()))-i.onCores, i.ceiling(now)-i.onCores-i.calls-len(i.standing))
}

func (i *Instance) ceiling(now time.Duration) int {
	warm := 1.0
	if span := i.span("warm_s", 0); i.told["cold"] == true && now < span {
		from := min(i.num("cold_from", 0.2), 1)
		warm = from + (1-from)*now.Seconds()/span.Seconds()
	}
	return max(int((1+max(i.num("crowd", 2)-1, 0)*warm)*float64(i.cores)*crowdPart), 1)
}

func (i *Instance) waiting() int { return len(i.held) - max(int(i.width)-i.onCores, 0) }

// density is payoff over expected work; 0 for what can't be of use any more.
func (i *Instance) density(now time.Duration, w int) float64 {
	it, b := &i.items[w], &i.bands[i.items[w].Band]
	payoff, run := b.payoff, b.latency // run: what it likely needs, and whole with its calls
	if it.Hint > 0 && b.perHint > 0 {
		run = math.Sqrt(it.Hint.Seconds() * b.perHint * b.latency)
	}
	whole := run + max(b.span-b.latency, 0)
	if it.Repeat {
		payoff *= again
	}
	if it.beyond {
		payoff *= i.num("over_share_payoff", 1)
	}
	if it.state == held {
		// The less of its expected run fits before the due time, the less likely it is of use.
		chance := min(((it.use-now).Seconds()/whole-leastFit)/(1-leastFit), 1)
		free := it.Hint > 0 && i.onCores < i.cores && !i.flag
		if (free || 2*i.onCores < i.cores) && it.use > now {
			chance = max(chance, idleTry) // guesses mislead, and trying costs an idle server nothing
		}
		payoff *= chance
	}
	if i.told["payoff_by"] != "work" {
		payoff /= max(run, 1e-4)
	}
	// To the nearest power of two: a guess is no better, and nearly equal bands must not starve each other.
	return math.Exp2(math.Round(math.Log2(max(payoff, 0))))
}

func (i *Instance) byDensity(now time.Duration, newer int) func(a, b int) int {
	return func(a, b int) int { // of equal ones the newer is the less where newer is 1, the more where it is -1
		return cmp.Or(cmp.Compare(i.density(now, a), i.density(now, b)),
			newer*cmp.Compare(i.items[b].arrived, i.items[a].arrived))
	}
}

// turnBack ends a work item that has not run, at once, with advice on when to come back.
func (i *Instance) turnBack(now time.Duration, w int, no bool) {
	it, pause := &i.items[w], time.Duration(0)
	if i.told["come_back"] != false {
		wait := float64(max(i.waiting(), 0)) / i.width * i.bands[0].latency
		clear := time.Duration(max(leastPause+wait, i.jam()*i.num("come_back_s", 0)) * 1e9)
		if now > i.grace-period {
			clear = time.Hour
		}
		pause = min(time.Duration(float64(clear)*(0.75+0.5*i.random())), i.span("come_back_s", 0))
	}
	i.turned++
	if it.Rank >= i.shed {
		i.missed++ // callers that heed the free value would have sent it
	}
	i.host.TurnBack(w, max(pause, 0), no)
	i.drop(w)
}

// drop takes a work item out of all tables; the receipt of one that has run stays its whole window.
func (i *Instance) drop(w int) {
	it := &i.items[w]
	if it.receiptEnds != 0 && !it.ran {
		i.host.Forget(w)
		i.dropReceipt(it)
	}
	i.held, i.standing = without(i.held, w), without(i.standing, w)
	if i.memory -= it.KB; it.state != held && it.state != joined {
		i.memory -= it.KB * (i.num("run_memory", 1) - 1)
	}
	it.state = absent
	i.host.Release(w)
}

func without[T comparable](list []T, x T) []T {
	if n := slices.Index(list, x); n >= 0 {
		return slices.Delete(list, n, n+1)
	}
	return list
}

// Settle starts work and issues calls once all that came in together has been told.
func (i *Instance) Settle(now time.Duration) {
	i.serveCalls(now)
	for i.room(now) > 0 && len(i.held) > 0 {
		// None that may need a call starts behind one that stands for its, or for a trial.
		idle := 2*i.onCores < i.cores && len(i.standing) < i.cores // trying costs nothing: not all come to a call
		stopped := !idle && (len(i.standing) > 0 || i.fails >= failures && i.calls > 0)
		best, most := -1, 0.0
		for n := len(i.held) - 1; n >= 0; n-- {
			w := i.held[n]
			d := i.density(now, w)
			if d <= 0 {
				i.turnBack(now, w, true)
				continue
			}
			it, b := &i.items[w], &i.bands[i.items[w].Band]
			if stopped && b.calls || !i.fits(it.KB*(i.num("run_memory", 1)-1)) {
				continue
			}
			if d > most || d == most && it.use <= i.items[best].use {
				best, most = w, d
			}
		}
		if best < 0 {
			return
		}
		it := &i.items[best]
		i.held = without(i.held, best)
		i.memory += it.KB * (i.num("run_memory", 1) - 1)
		it.state, it.ran, it.began, it.wait = running, true, now, now-it.arrived
		i.onCores++
		i.host.Start(best)
	}
}

// Ended is the end of a run or of a join.
func (i *Instance) Ended(now time.Duration, w int, o Outcome, took time.Duration) {
	it := &i.items[w]
	switch it.state {
	case absent, held:
		return
	case running:
		i.onCores--
	case calling:
		i.callOver(now, true)
	}
	if !it.answered && it.state != joined && o != Moot { // what was never started has no lag
		i.sample(now, it)
		if o == OK {
			i.done++
			b, run := &i.bands[it.Band], max((took-it.callTime).Seconds(), 1e-4)
			learn(&b.latency, run, b.ended+3)
			learn(&b.span, took.Seconds(), b.ended+3)
			if it.Hint > 0 {
				learn(&b.perHint, run/it.Hint.Seconds(), b.ended)
			}
			if b.ended++; b.ended <= 8 || b.latency < b.base {
				b.base = b.latency
			}
		}
		if o == Cancelled {
			i.host.Scrap(w)
		}
	}
	it.ran = it.ran && o != Moot // a receipt of what was never started must not stand in a later try's way
	i.drop(w)
}

func learn(mean *float64, x, seen float64) { *mean += (x - *mean) / min(seen+1, 16) }

func (i *Instance) sample(now time.Duration, it *item) { // toward the period in which it began
	if age := int((i.nextSample - it.began - 1) / period); age < 2 {
		i.sum[age] += i.ratio(now, it)
		i.count[age]++
	}
}

func (i *Instance) ratio(now time.Duration, it *item) float64 {
	b := &i.bands[it.Band]
	run := now - it.began - it.callTime
	if it.state == atCall || it.state == calling {
		run -= now - it.since
	}
	return (it.wait.Seconds() + max(run.Seconds(), b.base)) / b.base
}

// AtCall: a run stands at a call.
func (i *Instance) AtCall(now time.Duration, w int) {
	if it := &i.items[w]; it.state == running {
		i.onCores--
		it.state, it.since = atCall, now
		i.standing = append(i.standing, w)
	}
}

// serveCalls issues the calls that may be out; while calls fail, only a trial.
func (i *Instance) serveCalls(now time.Duration) {
	down := i.fails >= failures
	for len(i.standing) > 0 {
		out, share := i.meter(now)
		w := slices.MaxFunc(i.standing, i.byDensity(now, -1)) // of equal ones the newest: it has time for its call
		it := &i.items[w]
		late := i.calls > 0 && (it.use-now).Seconds() < i.callTook // it would be cut, and waste what lies below
		if late || out >= share || out+1 > share && i.overCalled > 0 || down && (i.calls > 0 || now < i.nextTrial) {
			return
		}
		patience := min(it.use, it.due-margin) - now
		if out+1 > share {
			window := partCall * min(i.callShare-out, 1) * i.span("calls_window_s", 1).Seconds()
			patience = min(patience, time.Duration(window*1e9)-i.span("calls_linger_s", 0))
		}
		i.standing = without(i.standing, w)
		it.state, i.calls = calling, i.calls+1
		i.host.Call(w, max(patience, 10*ms))
	}
}

func (i *Instance) resume(now time.Duration, w int) { // from a call, back on the cores
	it := &i.items[w]
	i.standing = without(i.standing, w)
	it.callTime, it.state = it.callTime+now-it.since, running
	i.onCores++
}

// callOver books a call that is out no longer; a call given up stays below for a while.
func (i *Instance) callOver(now time.Duration, given bool) {
	i.meter(now)
	i.calls--
	if given {
		i.lingering = append(i.lingering, now+i.span("calls_linger_s", 0))
	}
}

// meter tells the calls in hand and the share in use, and keeps the call-seconds used beyond the mean that
// may be. Of the told share's part beyond whole calls a window's use is at most partUse in the mean,
// savedCalls saved up and partCall by one call, all of it: where what lies below slows, all do this.
func (i *Instance) meter(now time.Duration) (out, share float64) {
	out, share = float64(i.calls+len(i.lingering)), i.callShare*i.callUse
	whole, part := math.Modf(i.callShare)
	spent := i.overCalled + (out-min(meanCalls*share, whole+partUse*part))*(now-i.metered).Seconds()
	i.overCalled, i.metered = max(spent, -savedCalls*part*i.span("calls_window_s", 1).Seconds()), now
	return out, share
}

func (i *Instance) slowBelow() bool { return i.callTook > callSlow*i.bands[0].due.Seconds() }

// Returned is the end of a call.
func (i *Instance) Returned(now time.Duration, w int, o Outcome, took time.Duration) {
	it := &i.items[w]
	if it.state != calling {
		return
	}
	i.callOver(now, o == TimedOut || o == Reset || o == Unclear)
	i.resume(now, w)
	cut := o == TimedOut && took.Seconds() < i.callTook // had less time than calls take
	if o == OK || o == TimedOut && !cut {               // what is turned away tells nothing of a call's time
		learn(&i.callTook, took.Seconds(), 7)
	}
	if o == OK {
		if i.fails >= failures {
			i.host.Log("calls back after a trial of %v", took)
		}
		i.fails = 0
		return
	}
	if !cut { // it must not stop calls, nor be the trial that keeps them stopped
		i.nextTrial = now + trialGap
		if i.fails++; i.fails == failures {
			i.host.Log("calls stopped: %d failed in a row", i.fails)
		}
	}
	b := &i.bands[it.Band]
	i.AtCall(now, w)
	if it.answered {
		i.halt(it, w)
	} else if b.kind != "pure" && !o.NeverRan() || now >= it.use {
		i.scrap(now, w)
	}
}

// scrap answers a work item that has run; what is on the cores goes on unless it can be stopped.
func (i *Instance) scrap(now time.Duration, w int) {
	it, b := &i.items[w], &i.bands[i.items[w].Band]
	i.sample(now, it)
	if took := (now - it.began).Seconds(); took > b.span {
		learn(&b.latency, max(took-it.callTime.Seconds(), b.latency), 16) // a run cut off took at least so long
		learn(&b.span, took, 16)
	}
	it.answered = true
	i.host.Scrap(w)
	i.halt(it, w)
}

func (i *Instance) halt(it *item, w int) {
	i.standing = without(i.standing, w)
	if it.state == running && i.stops {
		i.host.Stop(w)
	}
}

// CallerGone: nobody waits for this work item any more, so no answer is owed.
func (i *Instance) CallerGone(now time.Duration, w int) {
	it := &i.items[w]
	if it.state == held || it.state == joined {
		i.drop(w)
	} else if it.answered = true; i.bands[it.Band].kind == "pure" || it.state == atCall {
		i.halt(it, w)
	}
}

// Leave: this server stops after left; all that it has read must be answered before.
func (i *Instance) Leave(now, left time.Duration) {
	i.stopAt = now + left - 3*sweepGap - margin
	i.grace = now + i.span("grace_s", 0) - margin
	for w := range i.items {
		it := &i.items[w]
		it.due, it.use = min(it.due, i.stopAt), min(it.use, i.stopAt)
	}
	i.host.Health(false, true)
	i.host.Log("leaving: %d held, %d on cores, %v left", len(i.held), i.onCores, left)
}

// Tick comes every sweepGap: due times, and the sample of lag once a period.
func (i *Instance) Tick(now time.Duration, g Gauges) {
	if now-i.wanted > stall {
		// A standstill stretches one sample: it is not held against the healthy spell after it.
		i.sum, i.count = [2]float64{}, [2]float64{}
		i.nextSample = now + period
	}
	i.wanted = now + sweepGap
	i.host.Wake(i.wanted)
	past := func(end time.Duration) bool { return end <= now }
	i.meter(now)
	kept := len(i.receipts)
	i.receipts, i.lingering = slices.DeleteFunc(i.receipts, past), slices.DeleteFunc(i.lingering, past)
	i.memory -= float64(kept-len(i.receipts)) * i.num("receipt_kb", 0)
	for w := range i.items {
		it := &i.items[w]
		if it.state == absent || it.answered {
			continue
		}
		late, worthless := now >= it.due-margin, now >= it.use
		switch {
		case it.state == held:
			if late || i.density(now, w) <= 0 {
				i.turnBack(now, w, true)
			}
		case it.state == joined && late:
			i.host.Scrap(w)
			i.drop(w)
		case it.state != joined && (late || worthless && i.stops):
			i.scrap(now, w)
		}
	}
	if beside := g.Runnable - float64(i.onCores); g.Runnable >= 0 {
		i.intake, i.ticks = i.intake+max(beside, 0), i.ticks+1
		if beside < float64(i.cores) {
			i.unread *= jamFade // a core is free to read, so nothing waits unread
		}
	}
	i.say(now)
	if i.waiting() > 0 {
		i.waited++
	}
	if now >= i.nextSample {
		i.judge(now, g)
		i.nextSample = now + period
	}
}

// judge takes the sample of lag: the mean latency ratio of what started in the last two periods,
// what still runs counting with its time so far, and at least its base.
func (i *Instance) judge(now time.Duration, g Gauges) {
	was, sum, n := i.flag, i.sum[0]+i.sum[1], i.count[0]+i.count[1]
	for w := range i.items {
		it := &i.items[w]
		if it.state >= running && it.state != joined && !it.answered && it.began >= now-2*period {
			sum += i.ratio(now, it)
			n++
		}
		if it.state == held && now-it.arrived > period {
			// Departure: the hold's order lets the rich start at once, and starts hide that the rest starves.
			sum += 1 + (now-it.arrived).Seconds()/i.bands[it.Band].base
			n++
		}
	}
	i.lag, i.limit = max(sum/max(n, 1)-1, 0), -1
	for k := range i.bands {
		b := &i.bands[k]
		i.limit += duePart * b.due.Seconds() / b.base / float64(len(i.bands))
		b.base += (b.latency - b.base) * baseDrift
	}
	i.limit = max(i.limit, leastLimit)
	i.sum, i.count = [2]float64{0, i.sum[0]}, [2]float64{0, i.count[0]}
	if i.crossings++; i.lag <= i.limit {
		i.crossings = 0
	}
	if i.flag = i.crossings >= dampening; i.flag != was {
		i.host.Log("shedding %v: lag %.2f, %d held, %d on cores, width %.0f, shed %.2f",
			i.flag, i.lag, len(i.held), i.onCores, i.width, i.shed)
	}
	i.adjust()
	i.health()
	i.doors()
	// What lies below is crowded long before it dies: slow calls use less of it, so that more of them end.
	if i.callUse = min(i.callUse+callsUp, 1); i.slowBelow() {
		i.callUse = max(i.callUse*callsDown, leastCalls)
	}
	if g.Busy >= 0 && g.Busy < busyRoom && i.waiting() > 0 && i.done > 0 {
		i.width = min(i.width+1, float64(i.ceiling(now)))
	} else if g.Busy >= busyFull {
		i.width = max(i.width-1, float64(i.cores))
	}
	if i.read > 0 {
		learn(&i.repeats, float64(i.marked)/float64(i.read), 3)
		learn(&i.turnedShare, float64(i.turned)/float64(max(i.read, i.turned)), 3)
	}
	clear(i.from)
	i.read, i.marked, i.turned, i.missed, i.done, i.waited = 0, 0, 0, 0, 0, 0
}

// adjust moves the share of work, by rank, that callers should keep at home.
func (i *Instance) adjust() {
	switch {
	case i.missed > 0 && (i.flag || i.jam() > 0):
		i.shed += shedGain * (1 - i.shed) * float64(i.missed) / float64(max(i.read, i.turned))
	case i.waited == 0:
		i.shed -= shedDown // nothing had to wait: callers keep too much at home
	case i.lag <= i.limit:
		i.shed -= shedEase
	}
	i.shed = min(max(i.shed, 0), shedMost)
}

// doors moves the time after which idle connections close. A full table shuts callers out whatever they
// bring, new connections take the cores from the runs: what wants a core beside the runs tells whether more
// may come. The change is slow: a connection keeps the time under which it fell idle, and a table let go at
// once fills at once.
func (i *Instance) doors() {
	whole := i.span("idle_s", 0)
	if i.ticks == 0 || whole <= 0 {
		return
	}
	spare := min(max(1-i.intake/i.ticks/(intakePart*float64(i.cores)), -1), 1)
	i.open = min(max(i.open*(1-doorGain*spare), leastIdle), 1)
	part := i.open
	if learn(&i.sends, float64(i.read), 15); i.sends*whole.Seconds() > i.num("callers", 0)*period.Seconds() {
		part = 1 // a caller mostly comes again before its connection would close: closing it gains nothing
	}
	i.intake, i.ticks = 0, 0
	if after := time.Duration(part * float64(whole)).Round(100 * ms); after != i.idle {
		i.idle = after
		i.host.Idle(after)
	}
}

// health takes a jammed server off the list that every caller reads, where it follows health: who meets
// this server too seldom to remember what it said still stays away. Dampened like the flag, both ways.
func (i *Instance) health() {
	jam := i.jam()
	bad := i.told["list_follows"] == true && (jam == 1 || jam > 0 && (i.unfit || i.repeats < repeatsElse))
	if i.jams++; bad == i.unfit {
		i.jams = 0
	}
	if i.jams >= dampening && i.grace == math.MaxInt64 {
		i.jams, i.unfit = 0, !i.unfit
		i.host.Health(!i.unfit, true)
		i.host.Log("unfit %v: %.2f s unread, %.2f of the read are repeats", i.unfit, i.unread, i.repeats)
	}
}

// jam is 0 to 1: how near the wait before reading is to making all answers late and so unheard.
func (i *Instance) jam() float64 {
	return min(max((i.unread/i.bands[0].due.Seconds()-jamFrom)/(jamFull-jamFrom), 0), 1)
}

// say sets the value that rides on all answers, so that callers keep at home what would be refused.
func (i *Instance) say(now time.Duration) {
	if full := i.jam() > jamTold; full != i.jammed {
		i.jammed = full
		i.host.Log("jam %v: %.2f s unread", full, i.unread)
	}
	value := max(i.shed, i.jam())
	if now > i.grace-period {
		value = 1 // until then it serves what comes
	}
	if math.Abs(value-i.said) < leastSaid {
		return
	}
	switch i.said = value; i.told["free_value"] {
	case "threshold":
		i.host.Free(value)
	case "share_of":
		i.host.Free(1 - value)
	case "window":
		window := 2 * i.width // a calm server leaves all of it to any caller
		if value >= leastSaid {
			window = max(window*(1-value)/float64(max(len(i.from), 1)), leastWindow)
		}
		i.host.Free(window)
	}
}
