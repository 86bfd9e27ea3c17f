// Package node is the instance: it keeps the work items that were read, their keys and results, and carries what
// happens to the decision module and what the module does to the runtime, the index and the callers. It knows work
// items, not messages: every protocol comes in by the same door (Arrive, Gone, Check) and answers through its own
// Asker. It must never decide what runs, waits or is turned back, never block, and never be entered from
// another goroutine than the loop's. Its tables: items (a quarter of the memory; emptied by the module's Release),
// receipts (a quarter; emptied by the module's Forget and by time), inbox and later (emptied each round).
package node

import (
	"errors"
	"hash/maphash"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/told"
	"thymechute/policy"
)

const (
	itemBytes   = 8 << 10                // of memory that a work item may take, with its body and its call's
	entryBytes  = 512                    // a receipt, besides its result
	mostChecks  = 64                     // deep ones at a time
	fullPause   = 500 * time.Millisecond // where there is no room
	afterEnd    = 2 * time.Second        // a receipt outlives its end by this, for what is read late
	sweepEvery  = 500 * time.Millisecond // receipts
	oldGauges   = 200 * time.Millisecond // readings older than this are not offered
	quietBefore = 200 * time.Millisecond // nothing may have come for so long before an early end
	closeBefore = 300 * time.Millisecond // before the kill: no further connection
	closeFor    = 100 * time.Millisecond // what crossed the listener's end is answered for so long
	lastCall    = 60 * time.Millisecond  // before the kill: the end at the latest
	silence     = 60 * time.Millisecond  // a machine of which nothing is heard for so long stands still
	mostSilence = 105 * time.Millisecond // how late a Tick may be for it
	wakeGap     = 20 * time.Millisecond  // to the next Tick where the module asked for none
	verdictFor  = 5 * time.Second        // a self-test may take
	longestWait = time.Hour
	ageSlack    = 100 * time.Millisecond // the runtime's age comes rounded
)

// Errors of the door; nothing was taken in.
var (
	ErrBand     = errors.New("unknown band")
	ErrCustomer = errors.New("unknown customer")
	ErrTwice    = errors.New("id is in use")
)

// Ask is a work item as a protocol hands it in.
type Ask struct {
	Rid, Band, Customer, Receipt, Subject string
	Came                                  time.Time     // to this machine
	Patience                              time.Duration // what its caller still waits from then on; 0: not told
	From                                  int
	Again                                 bool
	Elsewhere                             bool // an earlier try may have run where nothing of it is known here
	KB, Rank                              float64
	Body                                  []byte
}

// Kind is what became of a work item.
type Kind int

// The final answers.
const (
	Fulfilled Kind = iota
	TurnedBack
	Scrapped
)

// Why is the cause of an answer where the instance itself, not the module, knows it.
type Why int

// The causes.
const (
	Unsaid     Why = iota
	Conflict       // another request stands under the same key
	MayHaveRun     // an earlier try may have run, and nothing of it is known here
)

// Answer is final.
type Answer struct {
	Kind     Kind
	Why      Why
	Result   []byte
	ComeBack time.Duration
	No       bool    // no other server helps
	Free     float64 // the free value; negative: none
}

// Asker takes answers for what came on one connection, by the tags it gave.
type Asker interface {
	Answer(tag string, a Answer)
	Checked(tag string, good bool, free float64)
}

// Runtime does the work; commands given while it is not Up are given again by the node once it is.
type Runtime interface {
	Up() bool
	Start(rid, band string, body []byte)
	Stop(rid string)
	Give(rid string, reply []byte)
	LeaveOut(rid string)
	Gauges()
	SelfTest(tag string)
}

// Below takes the calls.
type Below interface {
	Call(rid string, patience time.Duration, body []byte)
	GiveUp(rid string)
	Sweep(now time.Time) time.Time // ends what is over its time; when to come again
}

// Front is what a protocol's connections are told. Several stand behind the one door.
type Front interface {
	Idle(after time.Duration)
	Leave()
	Sweep(now time.Time)
	Owes() bool // answers that are given and not yet delivered; a leaving server waits for them, up to the kill
}

// Load is how much of the instance is taken, for a front that may leave work where it is.
type Load struct {
	Up          bool // the module is at work and the runtime's link stands
	Items, Room int  // work items here, and how many may be
}

// Reports go to the catalog.
type Reports interface {
	Sweep(now time.Time, good bool)
}

type item struct {
	asker     Asker // nil: nobody waits
	tag, rid  string
	band      int
	body      []byte
	key       string   // of its receipt; empty: none
	joins     *receipt // whose result it waits for
	call      []byte   // body of the call that it stands at
	give      []byte   // reply to it that no link has taken yet
	live      bool
	started   bool // by the module
	sent      bool // the command was handed to a link
	confirmed bool // the runtime has spoken of it
	stopped   bool
	calling   bool
	answered  bool
	why       Why // it is scrapped, if it is
}

// receipt is what is known of a key. It stands until its end, whether or not its try is still here.
type receipt struct {
	w       int // of the try that has the entry; policy.GoneForerunner once that is released
	band    int
	end     time.Duration
	window  time.Duration // by which its end counts
	over    bool          // the run has ended, or never will
	ok      bool
	body    uint64 // digest: all tries of one request carry the same body
	result  []byte
	joiners []int
}

// Instance is one server.
type Instance struct {
	log     *zap.Logger
	site    told.Site
	seed    uint64
	stop    time.Duration // from notice to kill
	room    int           // bytes for items, and as many for receipts
	kept    int           // of it, taken by receipts
	bands   map[string]int
	clients map[string]int
	runtime Runtime
	below   Below
	fronts  []Front
	reports Reports

	mod      *policy.Instance // none before the runtime was up once
	start    time.Time
	now      time.Duration // of the round
	items    []item
	spare    []int
	live     int
	byRid    map[string]int
	receipts map[string]*receipt
	inbox    []func() // what came since the last round, in order
	later    []func() // what the module must hear after what it is at
	checks   map[string]check
	digests  maphash.Seed
	tests    int // self-tests asked for so far

	good, stored     bool
	free             float64
	gauges           policy.Gauges
	gaugesAt, wake   time.Duration
	swept, lastRead  time.Duration
	began            time.Time     // of the runtime, at the latest
	first            time.Duration // when it was up
	old, before      bool          // it had worked before; for a life of this instance that is known of
	leaving          bool
	killAt, graceEnd time.Duration
	closedAt         time.Duration // the door; 0: not yet
	asked, heard     time.Duration // for readings, the earliest unanswered; anything from anybody
}

type check struct {
	asker Asker
	tag   string
	until time.Duration
}

// New makes an instance that waits for its runtime. Its tables follow from the memory it may have.
func New(site told.Site, seed uint64, stop time.Duration, memory int64, log *zap.Logger) *Instance {
	n := &Instance{log: log, site: site, seed: seed, stop: stop, room: int(memory / 4), free: -1, start: time.Now(),
		bands: map[string]int{}, clients: map[string]int{}, byRid: map[string]int{},
		receipts: map[string]*receipt{}, digests: maphash.MakeSeed(), checks: map[string]check{}, gauges: told.NoReadings}
	n.names()
	return n
}

// names are what the door takes by the settings in force.
func (n *Instance) names() {
	clear(n.bands)
	clear(n.clients)
	for i, name := range n.site.Bands {
		if n.site.Open(name) {
			n.bands[name] = i
		}
	}
	for i, name := range n.site.Customers {
		n.clients[name] = i
	}
}

// Retell puts later settings in force, made by told.Site.Over: indices of bands and customers stay, so that all that
// is in hand goes on. A receipt is kept for the longer of its two windows.
func (n *Instance) Retell(site told.Site) {
	n.put(func() {
		n.site, n.free = site, -1 // the value in its earlier form must not go on: the module says it anew
		n.names()
		for _, r := range n.receipts {
			if window := n.window(r.band); window > r.window { // once only, however often it goes there and back
				r.end, r.window = r.end+window-r.window, window
			}
		}
		if n.mod != nil {
			n.mod.Retold(site.Told)
		}
	})
}

func (n *Instance) window(band int) time.Duration {
	return n.span("band." + strconv.Itoa(band) + ".window_s")
}

// Kind of a band by its name, by the settings in force.
func (n *Instance) Kind(band string) string { return n.site.Kind(band) }

// Connect joins the instance to its sides.
func (n *Instance) Connect(r Runtime, b Below, c Reports, fronts ...Front) {
	n.runtime, n.below, n.reports, n.fronts = r, b, c, fronts
}

// Load tells how much is taken now.
func (n *Instance) Load() Load {
	return Load{n.mod != nil && n.runtime.Up(), n.live, n.room / itemBytes}
}

func (n *Instance) put(f func()) { n.inbox = append(n.inbox, f) }

// Round hands all that came to the module, then lets it act. It tells when to come again, and its phase.
func (n *Instance) Round() (time.Time, loop.Phase) {
	clock := time.Now()
	n.now = clock.Sub(n.start)
	next := n.below.Sweep(clock)
	inbox := n.inbox
	if n.inbox = nil; len(inbox) > 0 {
		n.heard = n.now
	}
	for _, f := range inbox {
		loop.Guard(n.log, "event", f) // its panic must not take along those behind it
	}
	if n.mod == nil {
		n.reports.Sweep(clock, false)
		n.sweepFronts(clock)
		if n.leaving {
			return clock, loop.Ended
		}
		return clock.Add(sweepEvery), loop.Serving
	}
	at := n.wake
	if n.now >= at {
		if at = n.standstill(); n.now >= at {
			n.tick()
			at = n.wake
		}
	}
	n.mod.Settle(n.now)
	for len(n.later) > 0 {
		later := n.later
		n.later = nil
		for _, f := range later {
			loop.Guard(n.log, "join", f)
		}
		n.mod.Settle(n.now)
	}
	if n.now >= n.swept {
		n.sweep()
	}
	n.reports.Sweep(clock, n.good && !n.leaving)
	n.sweepFronts(clock)
	if at := n.start.Add(at); next.IsZero() || at.Before(next) {
		next = at
	}
	return next, n.phase()
}

func (n *Instance) sweepFronts(now time.Time) {
	for _, f := range n.fronts {
		f.Sweep(now)
	}
}

func (n *Instance) tick() {
	g := n.gauges
	if n.now-n.gaugesAt > oldGauges {
		g = told.NoReadings
	}
	n.wake = n.now + wakeGap
	n.mod.Tick(n.now, g)
	if n.runtime.Up() {
		if n.asked <= n.gaugesAt {
			n.asked = n.now
		}
		n.runtime.Gauges() // for the next one: nothing waits for readings
	}
}

// standstill tells when the Tick that is due may come. While the machine stands still the runtime owes its
// readings and nobody is heard; timers stand still with it. A Tick that late tells the module so, and it is still
// soon enough for every due time, whose margin and the rules' own slack are longer together.
func (n *Instance) standstill() time.Duration {
	if n.runtime.Up() && n.asked > n.gaugesAt && n.now-max(n.asked, n.heard) > silence {
		return n.wake + mostSilence
	}
	return n.wake
}

// phase: a leaving server closes its door once nothing is owed and nothing that comes would run, or the kill is
// near; it ends when what crossed that is answered.
func (n *Instance) phase() loop.Phase {
	if !n.leaving {
		return loop.Serving
	}
	owes := slices.ContainsFunc(n.items, func(it item) bool { return it.live && !it.answered && it.asker != nil }) ||
		slices.ContainsFunc(n.fronts, Front.Owes)
	if n.closedAt == 0 && (n.now >= n.killAt-closeBefore || n.now >= n.graceEnd && n.now-n.lastRead > quietBefore && !owes) {
		n.closedAt = n.now
	}
	switch {
	case n.now >= n.killAt-lastCall, n.closedAt > 0 && n.now-n.closedAt > closeFor && !owes:
		return loop.Ended
	case n.closedAt > 0:
		return loop.Closing
	}
	return loop.Serving
}

func (n *Instance) sweep() {
	n.swept = n.now + sweepEvery
	for key, r := range n.receipts {
		if n.now > r.end+afterEnd && r.w < 0 && len(r.joiners) == 0 {
			n.discard(key)
		}
	}
	for tag, c := range n.checks {
		if n.now > c.until {
			delete(n.checks, tag)
			c.asker.Checked(c.tag, false, n.free)
		}
	}
}

// Leave is the notice that this server will be stopped.
func (n *Instance) Leave() {
	n.put(func() {
		if n.leaving {
			return
		}
		n.leaving = true
		n.killAt = n.now + n.stop
		n.graceEnd = n.now + n.span("grace_s")
		if n.mod != nil {
			n.mod.Leave(n.now, n.stop)
		}
		for _, f := range n.fronts {
			f.Leave()
		}
	})
}

// Arrive is the door: a work item has been read. An error means that it was not taken in.
func (n *Instance) Arrive(asker Asker, tag string, ask Ask) error {
	band, ok := n.bands[ask.Band]
	if !ok {
		return ErrBand
	}
	customer, ok := n.clients[ask.Customer]
	if !ok {
		if customer = -1; ask.Customer != "" {
			return ErrCustomer
		}
	}
	if _, ok := n.byRid[ask.Rid]; ok {
		return ErrTwice
	}
	key := n.key(band, ask)
	full := n.kept >= n.room && n.kind(band) == "receipted" && n.receipts[key] == nil
	if n.mod == nil || n.live*itemBytes >= n.room || full { // it never ran
		var pause time.Duration
		if n.site.Told["come_back"] != false {
			pause = min(fullPause, n.span("come_back_s"))
		}
		asker.Answer(tag, Answer{Kind: TurnedBack, ComeBack: pause, Free: n.free})
		return nil
	}
	w := len(n.items)
	if k := len(n.spare); k > 0 {
		w, n.spare = n.spare[k-1], n.spare[:k-1]
	} else {
		n.items = append(n.items, item{})
	}
	n.items[w] = item{live: true, asker: asker, tag: tag, rid: ask.Rid, band: band, body: ask.Body, key: key}
	n.byRid[ask.Rid] = w
	n.live++
	n.put(func() { n.arrive(w, customer, ask) })
	return nil
}

// kind of a band, as the settings tell it.
func (n *Instance) kind(band int) any { return n.site.Told["band."+strconv.Itoa(band)+".kind"] }

// key under which a work item's receipt stands; empty: it has none.
func (n *Instance) key(band int, ask Ask) string {
	if n.kind(band) == "receipted" && ask.Receipt != "" {
		return ask.Band + " " + ask.Receipt
	}
	return ""
}

func (n *Instance) arrive(w, customer int, ask Ask) {
	it := &n.items[w]
	kind := n.kind(it.band)
	work := policy.Work{Band: it.band, Customer: customer, From: ask.From, Repeat: ask.Again, Rank: ask.Rank,
		KB: ask.KB, Forerunner: policy.NoForerunner}
	work.Waited = min(max(time.Since(ask.Came), 0), longestWait)
	if ask.Patience > 0 { // what is past is the module's to end, and no patience at all would mean that none is told
		work.Patience = max(ask.Patience-work.Waited, 1)
	}
	n.lastRead = n.now
	r := n.receipts[it.key]
	same := func() bool { return r != nil && r.body == n.digest(ask.Body) }
	switch window := n.window(it.band); {
	case it.key != "" && r != nil && n.now-work.Waited <= r.end:
		if kind == "receipted" && !same() { // not the same request: it must not get that one's result
			it.why = Conflict
			n.answer(w, Answer{Kind: Scrapped})
			n.Release(w)
			return
		}
		work.Forerunner = r.w
	case ask.Elsewhere && kind != "pure",
		kind == "receipted" && ask.Again && n.before && n.now-work.Waited < n.first+window:
		// Another instance or the life before this one may have run an earlier try, and nothing of it is known here.
		work.Forerunner, it.why = policy.GoneForerunner, MayHaveRun
		if !same() { // an entry past its window that still stands is this request's, or is not for it
			it.key = ""
		}
	}
	n.mod.Arrived(n.now, w, work)
}

// Gone: nobody will hear answers to what came from this asker.
func (n *Instance) Gone(asker Asker) {
	for w := range n.items {
		it := &n.items[w]
		if !it.live || it.asker != asker {
			continue
		}
		it.asker = nil
		rid := it.rid
		n.put(func() {
			if at, ok := n.byRid[rid]; ok && at == w && !n.items[w].answered {
				n.mod.CallerGone(n.now, w)
			}
		})
	}
}

// Check answers a health check, at once or when the runtime has done its work.
func (n *Instance) Check(asker Asker, tag string, full bool) {
	if !full || n.stored || n.mod == nil || !n.runtime.Up() || len(n.checks) >= mostChecks {
		asker.Checked(tag, n.mod != nil && n.good, n.free)
		return
	}
	n.tests++
	name := "check" + strconv.Itoa(n.tests)
	n.checks[name] = check{asker, tag, n.now + verdictFor}
	n.runtime.SelfTest(name)
}

// Verdict is the end of a self-test.
func (n *Instance) Verdict(tag string, good bool) {
	if c, ok := n.checks[tag]; ok {
		delete(n.checks, tag)
		c.asker.Checked(c.tag, good && n.good, n.free)
	}
}

// Ready: the runtime answers a sync that was sent at the time asked. It began so long ago, and is old where it has
// worked before this life of the instance; a day starts with one that is.
func (n *Instance) Ready(old bool, ago time.Duration, asked time.Time) {
	earliest, latest := asked.Add(-ago), time.Now().Add(-ago)
	n.put(func() {
		if n.mod == nil {
			n.log.Info("runtime up", zap.Bool("old", old), zap.Duration("ago", ago))
			n.start, n.began, n.old = latest, latest, old // a cold machine warms from its runtime's start
			n.now = time.Since(n.start)
			n.first, n.heard = n.now, n.now
			n.mod = policy.New(n, n.seed, n.site.Told)
			return
		}
		if earliest.After(n.began.Add(ageSlack)) {
			n.log.Warn("runtime started anew: its runs are lost")
			n.began = latest
			for w := range n.items {
				if it := &n.items[w]; it.live && it.sent {
					n.ended(w, policy.Cancelled, 0, nil)
				}
			}
		}
	})
}

// CaughtUp: a new link has told all that was missed. What may not have reached the runtime is said again: a start
// of what runs is nothing, while a reply that may have been taken is not given twice, as the run may stand at its
// next call by then.
func (n *Instance) CaughtUp() {
	n.put(func() {
		for w := range n.items {
			it := &n.items[w]
			switch {
			case !it.live:
				continue
			case it.started && !it.sent && it.answered:
				n.ended(w, policy.Moot, 0, nil)
				continue
			case it.started && !it.confirmed:
				it.sent = true
				n.runtime.Start(it.rid, n.site.Bands[it.band], it.body)
			}
			if it.stopped {
				n.runtime.Stop(it.rid)
			}
			if it.give != nil {
				n.runtime.Give(it.rid, it.give)
				it.give = nil
			}
		}
	})
}

// End is the end of a run.
func (n *Instance) End(rid string, o policy.Outcome, took time.Duration, result []byte) {
	n.put(func() {
		if w, ok := n.known(rid); ok {
			n.ended(w, o, took, result)
		}
	})
}

// known finds a run. A runtime that worked before and names one that was never here is at work for an earlier
// life of this instance, beside which this one was started.
func (n *Instance) known(rid string) (int, bool) {
	w, ok := n.byRid[rid]
	if !ok && n.old && !n.before {
		n.before = true
		n.log.Warn("runtime works for an earlier life: marked repeats of its window are not run", zap.String("task", rid))
	}
	return w, ok && n.items[w].started
}

// span is a time that the settings tell, 0 if they don't.
func (n *Instance) span(name string) time.Duration {
	s, _ := n.site.Told[name].(float64)
	return time.Duration(s * float64(time.Second))
}

func (n *Instance) ended(w int, o policy.Outcome, took time.Duration, result []byte) {
	it := &n.items[w]
	n.giveUp(it)
	switch o {
	case policy.OK:
		n.answer(w, Answer{Kind: Fulfilled, Result: result})
	case policy.Cancelled: // the module answers
	default:
		n.answer(w, Answer{Kind: Scrapped})
	}
	if r := n.receipts[it.key]; r != nil && r.w == w {
		n.conclude(r, o == policy.OK, result)
	}
	n.mod.Ended(n.now, w, o, took)
}

// conclude gives a result to who waits for it, and keeps it for as long as the receipt stands.
func (n *Instance) conclude(r *receipt, ok bool, result []byte) {
	r.over = true
	for _, w := range r.joiners {
		n.settleJoin(w, ok, result)
	}
	if r.joiners = nil; n.kept+len(result) <= n.room { // else a repeat gets an error
		r.ok, r.result = ok, result
		n.kept += len(result)
	}
}

// discard forgets a key.
func (n *Instance) discard(key string) {
	if r := n.receipts[key]; r != nil {
		n.kept -= entryBytes + len(r.result)
		delete(n.receipts, key)
	}
}

func (n *Instance) settleJoin(w int, good bool, result []byte) {
	rid := n.items[w].rid
	n.later = append(n.later, func() {
		if at, ok := n.byRid[rid]; !ok || at != w {
			return
		}
		n.items[w].joins = nil
		if good {
			n.ended(w, policy.OK, 0, result)
		} else {
			n.ended(w, policy.Failed, 0, nil)
		}
	})
}

// Wants: a run stands at a call.
func (n *Instance) Wants(rid string, body []byte) {
	n.put(func() {
		if w, ok := n.known(rid); ok {
			it := &n.items[w]
			it.confirmed, it.call, it.give = true, body, nil
			n.mod.AtCall(n.now, w)
		}
	})
}

// Returned is the end of a call.
func (n *Instance) Returned(rid string, o policy.Outcome, took time.Duration, reply []byte) {
	n.put(func() {
		w, ok := n.byRid[rid]
		if !ok || !n.items[w].calling {
			return
		}
		it := &n.items[w]
		it.calling = false
		if o == policy.OK {
			if n.runtime.Up() {
				n.runtime.Give(rid, reply)
			} else {
				it.give = reply
			}
		}
		n.mod.Returned(n.now, w, o, took)
	})
}

// Readings are the gauges, in the settings' order.
func (n *Instance) Readings(row []float64) {
	n.gauges, n.gaugesAt = n.site.Readings(row), time.Since(n.start)
}

func (n *Instance) answer(w int, a Answer) {
	it := &n.items[w]
	if it.answered {
		return
	}
	it.answered = true
	if it.asker != nil {
		if a.Free = n.free; a.Kind == Scrapped {
			a.Why = it.why
		}
		it.asker.Answer(it.tag, a)
	}
}

func (n *Instance) giveUp(it *item) {
	if it.calling {
		it.calling = false
		n.below.GiveUp(it.rid)
	}
}

// Start puts a work item on the cores.
func (n *Instance) Start(w int) {
	it := &n.items[w]
	it.started = true
	if n.runtime.Up() {
		it.sent = true
		n.runtime.Start(it.rid, n.site.Bands[it.band], it.body)
	}
}

// Stop takes it off.
func (n *Instance) Stop(w int) {
	it := &n.items[w]
	it.stopped = true
	if n.runtime.Up() {
		n.runtime.Stop(it.rid)
	}
}

// TurnBack answers what has not run.
func (n *Instance) TurnBack(w int, comeBack time.Duration, no bool) {
	n.answer(w, Answer{Kind: TurnedBack, ComeBack: comeBack, No: no})
}

// Scrap answers with an error; a call that is out for it is given up.
func (n *Instance) Scrap(w int) {
	n.answer(w, Answer{Kind: Scrapped})
	n.giveUp(&n.items[w])
}

// Call issues the call.
func (n *Instance) Call(w int, patience time.Duration) {
	it := &n.items[w]
	it.calling = true
	n.below.Call(it.rid, patience, it.call)
}

// LeaveOut goes on without it.
func (n *Instance) LeaveOut(w int) { n.runtime.LeaveOut(n.items[w].rid) }

func (n *Instance) digest(body []byte) uint64 { return maphash.Bytes(n.digests, body) }

// Record enters the receipt, or moves it to this try.
func (n *Instance) Record(w int, life time.Duration) {
	key := n.items[w].key
	if key == "" {
		return
	}
	r := n.receipts[key]
	if r == nil || r.over { // an entry past its window must not lend its result to the next
		n.discard(key)
		r = &receipt{}
		n.receipts[key] = r
		n.kept += entryBytes
	}
	it := &n.items[w]
	r.w, r.end, r.body, r.band, r.window = w, n.now+life, n.digest(it.body), it.band, n.window(it.band)
}

// Forget takes the receipt out.
func (n *Instance) Forget(w int) {
	if key := n.items[w].key; n.receipts[key] != nil && n.receipts[key].w == w {
		n.discard(key)
	}
}

// Join waits for the forerunner's result.
func (n *Instance) Join(w int) {
	it := &n.items[w]
	r := n.receipts[it.key]
	if r == nil {
		r = &receipt{over: true}
	}
	if r.over {
		n.settleJoin(w, r.ok, r.result)
		return
	}
	it.joins = r
	r.joiners = append(r.joiners, w)
}

// Health is how checks are answered.
func (n *Instance) Health(good, stored bool) { n.good, n.stored = good, stored }

// Idle closes connections idle for so long.
func (n *Instance) Idle(after time.Duration) {
	for _, f := range n.fronts {
		f.Idle(after)
	}
}

// Free is the value that rides on all answers.
func (n *Instance) Free(value float64) { n.free = value }

// Wake asks for a Tick.
func (n *Instance) Wake(at time.Duration) { n.wake = at }

// Release is the module's last word on an index.
func (n *Instance) Release(w int) {
	it := &n.items[w]
	if r := n.receipts[it.key]; r != nil && r.w == w {
		r.w = policy.GoneForerunner
		if !r.over {
			n.conclude(r, false, nil)
		}
	}
	if r := it.joins; r != nil {
		r.joiners = slices.DeleteFunc(r.joiners, func(x int) bool { return x == w })
	}
	n.giveUp(it)
	delete(n.byRid, it.rid)
	n.items[w] = item{}
	n.live--
	n.spare = append(n.spare, w)
}

// Log is one line to the operators.
func (n *Instance) Log(format string, args ...any) { n.log.Sugar().Infof(format, args...) }
