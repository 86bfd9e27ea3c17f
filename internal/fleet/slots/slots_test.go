package slots

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/decide/ring"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil"
)

const keys = 48

var (
	leaseTerms = lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}
	bounds     = quorum.Config{MaxVoters: 5, MinAge: 300 * time.Millisecond, HoldDown: 2 * time.Second}
	terms      = ring.LeaseTerms{Duration: time.Second, MaxDrift: 0.01, CancelDelay: 20 * time.Millisecond}
)

// line is what a child tells.
type line struct {
	What    string // held, table, said, calls, votes
	Version uint64
	Text    string
	name    string
}

// TestMain: the test's binary is also the process under test.
func TestMain(m *testing.M) {
	if os.Getenv("PACK_NAME") != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

// hub is the log's Watcher: it hands what it hears to the Keeper.
type hub struct {
	keeper atomic.Pointer[Keeper]
	driver atomic.Pointer[consensus.Driver]
	deaf   atomic.Bool // its Keeper hears nothing of the log
	mu     sync.Mutex
}

func (h *hub) tell(l line) {
	b, _ := json.Marshal(l)
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Println(string(b))
}

func (h *hub) now() time.Duration { return h.driver.Load().Now() }

func (h *hub) LeaseAcquired(duty string, _ uint64) {
	if duty == Duty {
		h.keeper.Load().Held(h.now())
		h.tell(line{What: "held"})
	}
}
func (h *hub) LeaseLost(string)          { h.keeper.Load().Lost() }
func (h *hub) SnapshotRestored(b []byte) { h.keeper.Load().Restored(b) }
func (h *hub) Tick(now time.Duration)    { h.keeper.Load().Tick(now) }
func (h *hub) EntryApplied(_ uint64, c lease.Command, o lease.Outcome) {
	if h.deaf.Load() {
		return
	}
	h.keeper.Load().Entry(h.now(), c, o)
}

// lazy is the Keeper's Log, which is there a moment after it.
type lazy struct{ h *hub }

func (l lazy) DecideNow(duty, body string) bool        { return l.h.driver.Load().DecideNow(duty, body) }
func (l lazy) Announce(duty, body string) (seq uint64) { return l.h.driver.Load().Announce(duty, body) }
func (l lazy) Now() time.Duration                      { return l.h.now() }

type quiet struct{}

func (quiet) Joined(membership.Record)  {}
func (quiet) Updated(membership.Record) {}
func (quiet) Left(string)               {}
func (quiet) Refused(string, error)     {}

func child() {
	go func() { time.Sleep(100 * time.Second); os.Exit(3) }() // bounded, whatever the parent does
	name, front := os.Getenv("PACK_NAME"), os.Getenv("PACK_FRONT1")
	life := uint64(time.Now().UnixNano())
	process := fmt.Sprintf("%s#%x", name, life)
	h := &hub{}
	if os.Getenv("PACK_GREEDY") != "" {
		terms.CancelDelay = -5 * time.Second // the mutation: members call for five seconds past what owners wait for
	}
	fail := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, name, err)
			os.Exit(1)
		}
	}
	config := Config{Process: process, Life: life, Slots: 64, Terms: terms, Band: ring.BalanceBound{Slack: 0.05},
		Say: func(text string) { h.tell(line{What: "said", Text: text}) }}
	if os.Getenv("PACK_COLD") != "" {
		config = coldConfig(config)
	}
	keeper, err := New(config, lazy{h})
	fail(err)
	state, err := NewState(config)
	fail(err)
	h.keeper.Store(keeper)
	var seeds []string
	if s := os.Getenv("PACK_SEED"); s != "" {
		seeds = []string{s}
	}
	record := membership.Record{Zone: "z", Rank: -1, Process: process, Log: front}
	m, err := membership.Start(membership.Config{Name: name, Bind: os.Getenv("PACK_BIND0"), Advertise: os.Getenv("PACK_FRONT0"), Seeds: seeds,
		Most: 32, Probe: 200 * time.Millisecond, Sync: 500 * time.Millisecond, Record: record, Message: func(b []byte) {
			if d := h.driver.Load(); d != nil {
				d.ReceiveProposal(b)
			}
		}}, quiet{})
	fail(err)
	d, err := consensus.StartDriver(consensus.Config{Process: process, Bind: os.Getenv("PACK_BIND1"), Advertise: front, Bootstrap: os.Getenv("PACK_FOUND") != "",
		Duties: []string{Duty}, HeartbeatTimeout: 300 * time.Millisecond, StateMachine: state}, leaseTerms, life, h,
		func(to string, b []byte) error { return m.Send(to[:strings.IndexByte(to, '#')], b) }, func(d *consensus.Driver) { h.driver.Store(d) })
	fail(err)
	place, _ := strconv.Atoi(name[1:])
	d.SetClaimPosition(Duty, place)
	d.ManageVoters(func() (out []consensus.Peer) {
		for _, r := range m.View() {
			out = append(out, consensus.Peer{Process: r.Process, Address: r.Log, Zone: r.Zone, Applied: r.Applied, Draining: r.Flag == "leaving"})
		}
		return out
	}, bounds, func(c quorum.Change) {
		if c.Kind == quorum.PromoteVoter {
			h.tell(line{What: "votes"})
		}
	})
	var calls, held atomic.Int64
	if os.Getenv("PACK_COLD") != "" {
		coldCallers(h, keeper, name, life)
	} else {
		for n := range 8 {
			go caller(h, keeper, rand.New(rand.NewPCG(life, uint64(n))), &calls, &held)
		}
	}
	go func() {
		version, applied := uint64(0), uint64(0)
		for n := 0; ; n++ {
			time.Sleep(20 * time.Millisecond)
			var backends []ring.Backend
			if b, err := os.ReadFile(os.Getenv("PACK_WANT")); err == nil && json.Unmarshal(b, &backends) == nil {
				keeper.Want(backends)
			}
			if v := keeper.Version(); v != version {
				version = v
				h.tell(line{What: "table", Version: v})
			}
			if now, _ := d.Log.Applied(); now != applied && n%5 == 0 {
				applied, record.Applied = now, now
				_ = m.Set(record)
			}
			if n%50 == 49 {
				h.tell(line{What: "calls", Version: uint64(calls.Load()), Text: fmt.Sprint(held.Load(), " not made")})
			}
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// caller makes keyed calls one after the other: key and how long, which the backend keeps to whatever becomes of us.
func caller(h *hub, k *Keeper, r *rand.Rand, calls, held *atomic.Int64) {
	for {
		key := fmt.Sprint("k", r.IntN(keys))
		b, slot, until, v := k.Begin(key, false)
		if v != ring.Allow {
			held.Add(1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		long := min(time.Duration(5+r.IntN(60))*time.Millisecond, until-h.now())
		if c, err := net.DialTimeout("tcp", b.Zone, time.Second); err == nil { // the zone is its address here
			if until-h.now() >= long && long > 0 { // dialling took its time, or we stood still
				fmt.Fprintf(c, "%s %d\n", key, long.Milliseconds())
				_, _ = io.Copy(io.Discard, c)
				calls.Add(1)
			}
			c.Close()
		}
		k.Done(slot)
	}
}

// stands are the backends, in the parent: each key's calls, and whether two of them ever held one at once.
type stands struct {
	mu   sync.Mutex
	at   map[string]map[string]int // calls by key and backend
	two  int
	made int
}

// listenForLines hands each connection's first line to take, one goroutine a connection, and closes it after. It ends with the test.
func listenForLines(t *testing.T, take func(line string)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				text, _ := bufio.NewReader(c).ReadString('\n')
				take(text)
			}()
		}
	}()
	return l.Addr().String()
}

func (s *stands) serve(t *testing.T, name string) string {
	return listenForLines(t, func(text string) {
		var key string
		var ms int
		if n, _ := fmt.Sscan(text, &key, &ms); n != 2 {
			return
		}
		s.mu.Lock()
		if s.at[key] == nil {
			s.at[key] = map[string]int{}
		}
		if s.made++; len(s.at[key]) > 0 && s.at[key][name] == 0 {
			s.two++
		}
		s.at[key][name]++
		s.mu.Unlock()
		time.Sleep(time.Duration(ms) * time.Millisecond)
		s.mu.Lock()
		if s.at[key][name]--; s.at[key][name] == 0 {
			delete(s.at[key], name)
		}
		s.mu.Unlock()
	})
}

// Five processes call by a ring that grows from four backends to six and shrinks to three, while a member is stopped, one is
// cut off, the owner is killed in mid-move and started cold.
func TestNoKeyAtTwoBackendsThroughFaultsBetweenProcesses(t *testing.T) {
	if made, two := script(t, 8); two != 0 || made < 1000 {
		t.Errorf("%d of %d calls found their key at another backend", two, made)
	}
}

// The mutation that the check must notice: members that call past their lease.
func TestWithMembersThatCallPastTheirLeaseTheCheckCounts(t *testing.T) {
	if made, two := script(t, 10, "PACK_GREEDY=1"); two == 0 {
		t.Errorf("none of %d calls found its key at another backend: the check sees nothing", made)
	}
}

// ask replaces the file in which the members read which backends should be there.
func ask(t *testing.T, want string, backends []ring.Backend) {
	t.Helper()
	b, _ := json.Marshal(backends)
	if err := os.WriteFile(want+".new", b, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(want+".new", want); err != nil {
		t.Fatal(err)
	}
}

func script(t *testing.T, octet int, more ...string) (made, two int) {
	s := &stands{at: map[string]map[string]int{}}
	want := filepath.Join(t.TempDir(), "want.json")
	var all []ring.Backend
	for n := range 6 {
		name := fmt.Sprint("b", n)
		all = append(all, ring.Backend{Name: name, Zone: s.serve(t, name), Weight: 1})
	}
	wants := func(backends ...ring.Backend) { ask(t, want, backends) }
	wants(all[:4]...)
	p := testutil.NewPack(t, octet, 2, func(l *line, name string) { l.name = name })
	for n := range 5 {
		env := append([]string{"PACK_WANT=" + want}, more...)
		if n == 0 {
			env = append(env, "PACK_FOUND=1")
		}
		if p.Start(fmt.Sprint("m", n), env...); n == 0 {
			p.Until("first owner", 0, func(l line) bool { return l.What == "held" })
		}
	}
	everywhere := func(what string, version uint64, but string) {
		t.Helper()
		for _, name := range p.Names() {
			if name != but {
				p.Until(fmt.Sprintf("table %d at %s, %s", version, name, what), 0, func(l line) bool {
					return l.What == "table" && l.Version >= version && l.name == name
				})
			}
		}
	}
	isHeld := func(l line) bool { return l.What == "held" }
	votes := 0
	p.Until("five voters", 0, func(l line) bool {
		if l.What == "votes" {
			votes++
		}
		return votes == 4
	})
	everywhere("at first", 1, "")

	wants(all[:5]...)
	everywhere("all hearing", 2, "")

	deaf := "m4" // stopped in the move: it acknowledges nothing, and its lease runs out
	if p.Last(isHeld).name == deaf {
		deaf = "m3"
	}
	p.Signal(deaf, syscall.SIGSTOP)
	began := time.Now()
	wants(all...)
	everywhere("one stopped", 3, deaf)
	t.Logf("with one member stopped the table opened after %v", time.Since(began).Round(time.Millisecond))
	p.Signal(deaf, syscall.SIGCONT)
	everywhere("it is back", 3, "")

	p.Net.Isolate(deaf, p.Names()) // cut off: it calls on until its lease is over
	wants(all[1:]...)
	everywhere("one cut off", 4, deaf)
	if len(more) > 0 { // that was the case for the mutation
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.made, s.two
	}
	p.Net.Heal()
	everywhere("healed", 4, "")

	from := p.Told()
	killed := p.Last(isHeld).name
	wants(all[1:4]...)
	time.Sleep(30 * time.Millisecond) // in mid-move, or just before: both must hold
	p.Kill(killed)
	p.Until("a new owner", from, isHeld)
	everywhere("the owner killed", 5, killed)
	from = p.Told()
	p.Start(killed, "PACK_WANT="+want)
	p.Until("the cold one's table", from, func(l line) bool { return l.What == "table" && l.Version >= 5 && l.name == killed })
	time.Sleep(time.Second) // calls by the last table

	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d calls, %d at two backends", s.made, s.two)
	for _, l := range p.Lines() {
		if l.What == "said" && strings.Contains(l.Text, "otherwise") {
			t.Errorf("%s: %s", l.name, l.Text)
		}
	}
	return s.made, s.two
}
