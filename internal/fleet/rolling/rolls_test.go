package rolling

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/decide/rollout"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil"
)

var (
	leaseTerms = lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}
	votes      = quorum.Config{MaxVoters: 5, MinAge: 300 * time.Millisecond, HoldDown: 2 * time.Second}
	bounds     = rollout.Limits{MinCapacityFraction: 0.3, MaxUnavailable: 2, ReplaceTimeout: 20 * time.Second, InitialCapacityFraction: 0.2, WarmUpTime: time.Second}
)

// line is what a child tells.
type line struct {
	What, Release, Text string // ready, held, drains, said
	Life                uint64
	At                  int64 // Unix ms
	name                string
}

// TestMain: the test's binary is also the process under test.
func TestMain(m *testing.M) {
	if os.Getenv("PACK_NAME") != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

type hub struct {
	keeper *Keeper
	driver atomic.Pointer[consensus.Driver]
	mu     sync.Mutex
}

func (h *hub) tell(l line) {
	l.At = time.Now().UnixMilli()
	b, _ := json.Marshal(l)
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Println(string(b))
}

func (h *hub) LeaseAcquired(string, uint64) { h.keeper.Held(); h.tell(line{What: "held"}) }
func (h *hub) LeaseLost(string)             { h.keeper.Lost() }
func (h *hub) SnapshotRestored(b []byte)    { h.keeper.Restored(h.driver.Load().Now(), b) }
func (h *hub) Tick(now time.Duration)       { h.keeper.Tick(now) }
func (h *hub) EntryApplied(_ uint64, c lease.Command, o lease.Outcome) {
	h.keeper.Entry(h.driver.Load().Now(), c, o)
}

type quiet struct{}

func (quiet) Joined(membership.Record)  {}
func (quiet) Updated(membership.Record) {}
func (quiet) Left(string)               {}
func (quiet) Refused(string, error)     {}

func child() {
	go func() { time.Sleep(100 * time.Second); os.Exit(3) }() // bounded, whatever the parent does
	name, zone, release, front := os.Getenv("PACK_NAME"), os.Getenv("PACK_ZONE"), os.Getenv("PACK_RELEASE"), os.Getenv("PACK_FRONT1")
	life := uint64(time.Now().UnixMilli())
	process := fmt.Sprintf("%s#%x", name, life)
	h := &hub{}
	fail := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, name, err)
			os.Exit(1)
		}
	}
	var seeds []string
	if s := os.Getenv("PACK_SEED"); s != "" {
		seeds = []string{s}
	}
	record := membership.Record{Zone: zone, Rank: -1, Epoch: life, Capacity: 1, Process: process, Log: front, Release: release}
	m, err := membership.Start(membership.Config{Name: name, Bind: os.Getenv("PACK_BIND0"), Advertise: os.Getenv("PACK_FRONT0"), Seeds: seeds,
		Most: 16, Probe: 200 * time.Millisecond, Sync: 500 * time.Millisecond, Record: record, Message: func(b []byte) {
			if d := h.driver.Load(); d != nil {
				d.ReceiveProposal(b)
			}
		}}, quiet{})
	fail(err)
	leaving, flagged := make(chan struct{}), make(chan struct{})
	known := map[string]rollout.Instance{} // all ever heard of: a silent one counts as gone, not as never there
	h.keeper = New(Config{Name: name, Life: life, Bounds: bounds,
		Fleet: func() (out []rollout.Instance, load map[string]float64) {
			d := h.driver.Load()
			voting, view := d.Log.Voters(), m.View()
			for n, r := range view {
				known[n] = rollout.Instance{Name: n, Zone: r.Zone, Release: r.Release, Incarnation: r.Epoch, Capacity: r.Capacity,
					Age: time.Duration(time.Now().UnixMilli()-int64(r.Epoch)) * time.Millisecond, IsDraining: r.Flag == "leaving",
					IsVoter: slices.Contains(voting, r.Process), IsLeader: n == name}
			}
			for n, i := range known {
				_, heard := view[n]
				i.IsUnreachable = !heard
				out = append(out, i)
			}
			slices.SortFunc(out, func(x, y rollout.Instance) int { return strings.Compare(x.Name, y.Name) })
			return out, nil
		},
		Absent: func() (out []string) {
			heard := map[string]bool{}
			for _, r := range m.View() {
				heard[r.Process] = true
			}
			for _, process := range h.driver.Load().Log.Voters() {
				if !heard[process] {
					out = append(out, process)
				}
			}
			return out
		},
		Decide: func(body string) bool { return h.driver.Load().DecideNow(Duty, body) },
		HandOn: func() { h.driver.Load().Resign(Duty) },
		Drain:  func() { close(leaving) },
		Say:    func(text string) { h.tell(line{What: "said", Text: text}) }})
	d, err := consensus.StartDriver(consensus.Config{Process: process, Bind: os.Getenv("PACK_BIND1"), Advertise: front, Bootstrap: os.Getenv("PACK_FOUND") != "",
		Duties: []string{Duty}, HeartbeatTimeout: 300 * time.Millisecond, StateMachine: consensus.StateMachines{Duty: NewState()}}, leaseTerms, life, h,
		func(to string, b []byte) error { return m.Send(to[:strings.IndexByte(to, '#')], b) }, func(d *consensus.Driver) { h.driver.Store(d) })
	fail(err)
	place, _ := strconv.Atoi(name[1:])
	d.SetClaimPosition(Duty, place)
	d.ManageVoters(func() (out []consensus.Peer) {
		for _, r := range m.View() {
			out = append(out, consensus.Peer{Process: r.Process, Address: r.Log, Zone: r.Zone, Applied: r.Applied, Draining: r.Flag == "leaving"})
		}
		return out
	}, votes, func(c quorum.Change) {
		h.tell(line{What: "said", Text: fmt.Sprint("care ", c.Kind, " ", c.Reason, " ", c.Process)})
	})
	go func() {
		applied := uint64(0)
		for {
			time.Sleep(100 * time.Millisecond)
			if b, err := os.ReadFile(os.Getenv("PACK_WANT")); err == nil {
				h.keeper.Want(string(b))
			}
			if now, _ := d.Log.Applied(); now != applied {
				applied, record.Applied = now, now
				_ = m.Set(record)
			}
			select {
			case <-leaving:
				record.Flag = "leaving"
				_ = m.Set(record)
				close(flagged)
				return
			default:
			}
		}
	}()
	h.tell(line{What: "ready", Release: release, Life: life})
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); os.Exit(0) }()
	<-leaving
	h.tell(line{What: "drains", Release: release, Life: life})
	<-flagged
	d.Drain(3 * time.Second)
	_ = m.Leave(time.Second)
	d.Stop()
}

// Eight processes in two zones are rolled to a new release while one is killed and the owner is stopped in mid-wave and
// woken; whatever ends is started again with what is installed, as an init system does.
func TestARollThroughKillAndAnOwnerThatWakesLate(t *testing.T) {
	want := filepath.Join(t.TempDir(), "want")
	if err := os.WriteFile(want, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := testutil.NewPack(t, 12, 2, func(l *line, name string) { l.name = name })
	over := make(chan struct{})
	var installed atomic.Value
	installed.Store("old")
	var watching sync.WaitGroup
	env := func(n int) []string {
		return []string{"PACK_WANT=" + want, "PACK_ZONE=z" + fmt.Sprint(n%2), "PACK_RELEASE=" + installed.Load().(string)}
	}
	for n := range 8 {
		name := fmt.Sprint("m", n)
		if n == 0 {
			p.Start(name, append(env(n), "PACK_FOUND=1")...)
			p.Until("an owner", 0, func(l line) bool { return l.What == "held" })
		} else {
			p.Start(name, env(n)...)
		}
		watching.Add(1)
		go func() { // the supervisor
			defer watching.Done()
			for {
				select {
				case <-over:
					return
				case <-p.Ended(name):
					p.Start(name, env(n)...)
				}
			}
		}()
	}
	defer watching.Wait()
	defer close(over)
	time.Sleep(2 * time.Second) // all warm, and votes spread; the claim is not on this
	installed.Store("new")
	if err := os.WriteFile(want, []byte("new"), 0o600); err != nil {
		t.Fatal(err)
	}
	drains := func(l line) bool { return l.What == "drains" }
	first := p.Until("the first drain", 0, drains)
	held := func(l line) bool { return l.What == "held" }
	victim := ""
	for _, name := range p.Names() {
		if name != first.name && name != p.Last(held).name && p.Last(func(l line) bool { return drains(l) && l.name == name }).What == "" {
			victim = name
		}
	}
	p.Kill(victim)
	from := p.Told()
	p.Until("a drain after the kill", from, drains)
	stopped := p.Last(held).name
	p.Signal(stopped, syscall.SIGSTOP)
	p.Until("a new owner", p.Told(), held)
	time.Sleep(500 * time.Millisecond) // the script's pause goes on past the lease
	p.Signal(stopped, syscall.SIGCONT)
	for _, name := range p.Names() {
		p.Until(name+" on the new release", 0, func(l line) bool { return l.What == "ready" && l.Release == "new" && l.name == name })
	}
	check(t, p)
}

// check: who was told to drain was told once; and how many stood ready in each zone at the least.
func check(t *testing.T, p *testutil.Pack[line]) {
	lines := p.Lines()
	slices.SortStableFunc(lines, func(x, y line) int { return int(x.At - y.At) })
	told, up, least, rolling := map[string]int{}, map[string]map[string]bool{"0": {}, "1": {}}, 4, false
	for _, l := range lines {
		n, _ := strconv.Atoi(l.name[1:])
		zone := up[fmt.Sprint(n%2)]
		switch l.What {
		case "ready":
			zone[l.name] = true
		case "drains":
			rolling = true
			delete(zone, l.name)
			if told[l.name]++; told[l.name] > 1 || l.Release == "new" {
				t.Errorf("%s, release %s, drains again", l.name, l.Release)
			}
		}
		if rolling {
			least = min(least, len(up["0"]), len(up["1"]))
		}
	}
	t.Logf("%d drained, at least %d of 4 ready in each zone but for the one killed", len(told), least)
	if least < 3 {
		t.Errorf("a zone came down to %d ready by drains alone, 3 expected", least)
	}
	if len(told) < 7 { // all but the one killed, which came back with what was installed
		t.Errorf("%d drained, expected 7 or 8", len(told))
	}
}
