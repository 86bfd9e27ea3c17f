// Package node is the instance: it keeps the requests that were read, their keys and results, and carries what
// happens to the decision module and what the module does to the runtime, the index and the callers. It knows
// requests, not messages: every protocol comes in by the same admission (Arrive, Gone, Check) and answers through its own
// Asker. It must never decide what runs, waits or is rejected, never block, and never be entered from
// another goroutine than the loop's. Its tables: items (a quarter of the memory; emptied by the module's Release),
// keys (a quarter; emptied by the module's Forget and by time), classes and tenants (the settings' bounds; emptied by a
// delta that removes them and the end of their work), inbox and later (emptied each round).
package node

import (
	"errors"
	"hash/maphash"
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
	"thymechute/policy/settings"
)

const (
	itemBytes   = 8 << 10                // of memory that a request may take, with its body and its call's
	entryBytes  = 512                    // an entry for a key, besides its result
	mostChecks  = 64                     // deep ones at a time
	fullPause   = 500 * time.Millisecond // where there is no room
	afterEnd    = 2 * time.Second        // a key outlives its end by this, for what is read late
	sweepEvery  = 500 * time.Millisecond // keys
	oldGauges   = 200 * time.Millisecond // readings older than this are not offered
	quietBefore = 200 * time.Millisecond // nothing may have come for so long before an early end
	closeBefore = 300 * time.Millisecond // before the kill: no further connection
	closeFor    = 100 * time.Millisecond // what crossed the listener's end is answered for so long
	lastCall    = 60 * time.Millisecond  // before the kill: the last answers
	lastBreath  = 25 * time.Millisecond  // before the kill: the end at the latest
	silence     = 60 * time.Millisecond  // a machine of which nothing is heard for so long stands still
	mostSilence = 105 * time.Millisecond // how late a Tick may be for it
	wakeGap     = 20 * time.Millisecond  // to the next Tick where the module asked for none
	verdictFor  = 5 * time.Second        // a self-test may take
	longestWait = time.Hour
	ageSlack    = 100 * time.Millisecond // the runtime's age comes rounded
)

// noTenant stands for the tenant of a request that is of nobody.
const noTenant = -1

// Errors of admission; nothing was taken in.
var (
	ErrUnknownClass  = errors.New("unknown class")
	ErrUnknownTenant = errors.New("unknown tenant")
	ErrDuplicateID   = errors.New("id is in use")
)

type item struct {
	asker     Responder // nil: nobody waits
	tag, rid  string
	class     int
	tenant    int // noTenant: of nobody
	body      []byte
	key       string    // of its entry; empty: none
	waitsFor  *keyEntry // whose result it waits for
	call      []byte    // body of the call that it stands at
	give      []byte    // reply to it that no link has taken yet
	live      bool
	started   bool // by the module
	sent      bool // the command was handed to a link
	confirmed bool // the runtime has spoken of it
	stopped   bool
	calling   bool
	answered  bool
	why       Cause // it failed, if it did
}

// keyEntry is what is known of a key. It stands until its end, whether or not its try is still here.
type keyEntry struct {
	w         policy.RequestID // of the try that has the entry; policy.GoneForerunner once that is released
	class     int
	end       time.Duration
	window    time.Duration // by which its end counts
	over      bool          // the run has ended, or never will
	ok        bool
	body      uint64 // digest: all tries of one request carry the same body
	result    []byte
	coalesced []policy.RequestID
}

// Instance is one server.
type Instance struct {
	log     *zap.Logger
	server  settings.Server
	version uint64 // of the settings in force
	seed    uint64
	stop    time.Duration // from notice to kill
	room    int           // bytes for items, and as many for keys
	kept    int           // of it, taken by keys
	classes *table[settings.Class]
	tenants *table[settings.Tenant]
	runtime Runtime
	below   Dependency
	fronts  []Front
	reports HealthReporter

	mod     *policy.Instance // none before the runtime was up once
	start   time.Time
	now     time.Duration // of the round
	items   []item
	spare   []policy.RequestID
	live    int
	byRid   map[string]policy.RequestID
	keys    map[string]*keyEntry
	inbox   []func() // what came since the last round, in order
	later   []func() // what the module must hear after what it is at
	checks  map[string]check
	digests maphash.Seed
	tests   int // self-tests asked for so far

	good, stored     bool
	free             float64
	gauges           policy.Gauges
	gaugesAt, wake   time.Duration
	swept, lastRead  time.Duration
	began            time.Time     // of the runtime, at the latest
	first            time.Duration // when it was up
	old, before      bool          // it had worked before; for a life of this instance that is known of
	draining         bool
	killAt, graceEnd time.Duration
	closedAt         time.Duration // the listener; 0: not yet
	asked, heard     time.Duration // for readings, the earliest unanswered; anything from anybody
}

type check struct {
	asker Responder
	tag   string
	until time.Duration
}

// New makes an instance that waits for its runtime. Its tables follow from the memory it may have.
func New(s settings.Settings, seed uint64, stop time.Duration, memory int64, log *zap.Logger) *Instance {
	classes := make([]settings.Class, 0, len(s.Classes))
	for _, class := range s.Classes {
		classes = append(classes, withRuntime(class))
	}
	n := &Instance{log: log, server: s.Server, version: firstVersion, seed: seed, stop: stop, room: int(memory / 4), free: -1, start: time.Now(),
		classes: newTable(classes), tenants: newTable(s.Tenants), byRid: map[string]policy.RequestID{},
		keys: map[string]*keyEntry{}, digests: maphash.MakeSeed(), checks: map[string]check{}, gauges: noReadings}
	return n
}

// Connect joins the instance to its sides.
func (n *Instance) Connect(r Runtime, b Dependency, c HealthReporter, fronts ...Front) {
	n.runtime, n.below, n.reports, n.fronts = r, b, c, fronts
}
