package consensus

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil"
)

var (
	leaseTerms = lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}
	bounds     = quorum.Config{MaxVoters: 5, MinAge: 300 * time.Millisecond, HoldDown: 2 * time.Second}
)

// line is what a child tells, one JSON object a line.
type line struct {
	What         string // held, lost, decides, entry, tried, leads, change, voters
	Duty, Why    string
	Token, Index uint64
	Kind         lease.Kind
	Accepted     bool
	At           int64 // Unix ms
	name         string
}

// voters are the processes that vote, as the child has it; none of another line.
func (l line) voters() []string {
	if l.What != "voters" {
		return nil
	}
	return strings.Split(l.Why, ",")
}

// TestMain: the test binary is also the process under test, until its standard input closes or its time is up.
func TestMain(m *testing.M) {
	if os.Getenv("PACK_NAME") != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

type teller struct {
	mu sync.Mutex
	d  *Driver
}

func (t *teller) tell(l line) {
	l.At = time.Now().UnixMilli()
	b, _ := json.Marshal(l)
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Println(string(b))
}

var held sync.Map // duty to token, the last it held

func (t *teller) LeaseAcquired(duty string, token uint64) {
	held.Store(duty, token)
	t.tell(line{What: "held", Duty: duty, Token: token})
}
func (t *teller) LeaseLost(duty string) { t.tell(line{What: "lost", Duty: duty}) }
func (t *teller) EntryApplied(index uint64, c lease.Command, o lease.Outcome) {
	t.tell(line{What: "entry", Duty: c.Duty, Token: c.Token, Index: index, Kind: c.Kind, Accepted: o.Accepted})
}

func (t *teller) SnapshotRestored([]byte) {}
func (t *teller) Tick(time.Duration)      {}

// quiet is a membership.Watcher that hears nothing: the view is asked for.
type quiet struct{}

func (quiet) Joined(membership.Record)  {}
func (quiet) Updated(membership.Record) {}
func (quiet) Left(string)               {}
func (quiet) Refused(string, error)     {}

func child() {
	go func() { time.Sleep(100 * time.Second); os.Exit(3) }() // bounded, whatever the parent does
	name, bind, at, front := os.Getenv("PACK_NAME"), os.Getenv("PACK_BIND0"), os.Getenv("PACK_BIND1"), os.Getenv("PACK_FRONT1")
	life := uint64(time.Now().UnixNano())
	process := fmt.Sprintf("%s#%x", name, life)
	t := &teller{}
	var seeds []string
	if s := os.Getenv("PACK_SEED"); s != "" {
		seeds = []string{s}
	}
	record := membership.Record{Zone: os.Getenv("PACK_ZONE"), Rank: -1, Process: process, Log: front}
	ready := make(chan struct{})
	m, err := membership.Start(membership.Config{Name: name, Bind: bind, Advertise: os.Getenv("PACK_FRONT0"), Seeds: seeds, Most: 16, Probe: 200 * time.Millisecond,
		Sync: 500 * time.Millisecond, Record: record, Message: func(b []byte) { <-ready; t.d.ReceiveProposal(b) }}, quiet{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	t.d, err = StartDriver(Config{Process: process, Bind: at, Advertise: front, Bootstrap: os.Getenv("PACK_FOUND") != "", Duties: []string{"ring", "roll"},
		HeartbeatTimeout: 300 * time.Millisecond}, leaseTerms, life, t, func(to string, b []byte) error { return m.Send(to[:strings.IndexByte(to, '#')], b) }, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	close(ready)
	place, _ := strconv.Atoi(name[1:])
	t.d.SetClaimPosition("ring", place)
	t.d.SetClaimPosition("roll", place+2)
	t.d.ManageVoters(func() (out []Peer) {
		for _, r := range m.View() {
			out = append(out, Peer{Process: r.Process, Address: r.Log, Zone: r.Zone, Applied: r.Applied, Draining: r.Flag == "leaving"})
		}
		return out
	}, bounds, func(c quorum.Change) {
		t.tell(line{What: "change", Kind: lease.Kind(c.Kind), Why: c.Reason + " " + c.Process})
	})
	go func() {
		led, last, applied, voting := uint64(0), time.Now(), uint64(0), "" // led: the last term told
		for n := 0; ; n++ {
			time.Sleep(20 * time.Millisecond)
			if time.Since(last) > leaseTerms.Duration { // it stood still: on without looking, as one does who had checked just before
				held.Range(func(duty, token any) bool {
					c := lease.Command{Kind: lease.Decide, Duty: duty.(string), Member: process, Incarnation: life, Token: token.(uint64), Body: "late"}
					t.tell(line{What: "tried", Duty: c.Duty, Token: c.Token})
					for range 20 { // until it surely reached a leader
						t.d.Propose(c)
						time.Sleep(50 * time.Millisecond)
					}
					return true
				})
			}
			last = time.Now()
			if _, leads := t.d.Log.Leader(); leads && t.d.Log.Term() != led {
				led = t.d.Log.Term()
				t.tell(line{What: "leads", Index: led})
			}
			if now := slices.Sorted(slices.Values(t.d.Log.Voters())); strings.Join(now, ",") != voting {
				voting = strings.Join(now, ",")
				t.tell(line{What: "voters", Why: voting})
			}
			if n%5 == 0 {
				for _, duty := range []string{"ring", "roll"} {
					t.d.Decide(duty, "plan", func(ok bool) {
						if token, _ := held.Load(duty); ok {
							t.tell(line{What: "decides", Duty: duty, Token: token.(uint64)})
						}
					})
				}
				if now, _ := t.d.Log.Applied(); now != applied {
					applied, record.Applied = now, now
					_ = m.Set(record)
				}
			}
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
	t.d.Drain(0)
	time.Sleep(300 * time.Millisecond) // what it proposed goes out; the claim is not on this
	_ = m.Leave(time.Second)
	t.d.Stop()
}

func heldBy(duty string, over uint64) func(line) bool {
	return func(l line) bool { return l.What == "held" && l.Duty == duty && l.Token > over }
}

type pack struct {
	*testutil.Pack[line]
	t *testing.T
}

// five starts the processes, each behind its proxies, and waits until all vote.
func five(t *testing.T) *pack {
	p := &pack{testutil.NewPack(t, 6, 2, func(l *line, name string) { l.name = name }), t}
	t.Cleanup(func() { // who voted is what a failure is mostly about
		for _, l := range p.Lines() {
			if t.Failed() && (l.What == "change" || l.What == "voters" || l.What == "leads" || l.What == "held") {
				t.Logf("%d %s %s %s %d %s", l.At, l.name, l.What, l.Duty, max(l.Token, l.Index), l.Why)
			}
		}
	})
	for n := range 5 {
		more := []string{"PACK_ZONE=z" + fmt.Sprint(n%3)}
		if n == 0 {
			more = append(more, "PACK_FOUND=1")
		}
		if p.Start(fmt.Sprint("m", n), more...); n == 0 {
			p.Until("first leader", 0, func(l line) bool { return l.What == "leads" })
		}
	}
	p.Until("five voters", 0, func(l line) bool { return len(l.voters()) == 5 })
	return p
}

// Cuts between the five: the owner cut off both ways, then what it sends alone, two against three with the owner among
// the two. Each time another takes over once its lease is over, and what it says after the heal changes nothing.
func TestOneOwnerThroughCutsAndAPartition(t *testing.T) {
	p := five(t)
	all := p.Names()
	p.Until("an owner", 0, heldBy("ring", 0))
	for _, c := range []struct {
		what string
		cut  func(owner string, others []string)
	}{
		{"cut off", func(o string, _ []string) { p.Net.Isolate(o, all) }},
		{"not heard", func(o string, others []string) {
			for _, other := range others {
				p.Net.Cut(o, other)
			}
		}},
		{"in the smaller part", func(o string, others []string) { p.Net.Partition([]string{o, others[0]}, others[1:]) }},
	} {
		held := p.Last(heldBy("ring", 0))
		var others []string
		for _, name := range all {
			if name != held.name {
				others = append(others, name)
			}
		}
		from, began := p.Told(), time.Now()
		c.cut(held.name, others)
		next := p.Until("a successor of the owner "+c.what, from, heldBy("ring", held.Token))
		t.Logf("%s, replaced after %v", c.what, time.Since(began).Round(time.Millisecond))
		if next.name == held.name {
			t.Errorf("%s: %s succeeds itself", c.what, held.name)
		}
		if c.what == "in the smaller part" && next.name == others[0] {
			t.Errorf("the smaller part has an owner of its own: %s", next.name)
		}
		p.Net.Heal()
		from = p.Told()
		p.Until(held.name+" hearing the log again", from, func(l line) bool { return l.What == "entry" && l.name == held.name && l.Token > held.Token })
	}
	p.check(false)
}

// Five processes over raft: the owner of a duty is stopped past its lease and woken, killed, the leader and another
// voter killed and started cold in the middle of the election.
func TestOneOwnerThroughPauseKillAndColdRestarts(t *testing.T) {
	p := five(t)
	ring := p.Until("an owner", 0, heldBy("ring", 0))
	ring = p.Last(heldBy("ring", 0))
	from := p.Told()
	p.Signal(ring.name, syscall.SIGSTOP)
	stopped := time.Now()
	next := p.Until("a successor of the stopped owner", from, heldBy("ring", ring.Token))
	t.Logf("stopped owner replaced after %v", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Second - min(time.Since(stopped), time.Second)) // it stands still for more than a lease in any case
	p.Signal(ring.name, syscall.SIGCONT)
	p.Until("the late command in the log", from, func(l line) bool {
		return l.What == "entry" && l.Kind == lease.Decide && l.Duty == "ring" && l.Token == ring.Token && !l.Accepted
	})

	from = p.Told()
	killed, dead := time.Now(), ""
	for _, process := range p.Last(func(l line) bool { return len(l.voters()) == 5 }).voters() {
		if strings.HasPrefix(process, next.name+"#") {
			dead = process
		}
	}
	p.Kill(next.name)
	p.Until("a successor of the killed owner", from, heldBy("ring", next.Token))
	t.Logf("killed owner replaced after %v", time.Since(killed).Round(time.Millisecond))
	p.Start(next.name)
	p.Until("the cold one's entries", p.Told(), func(l line) bool { return l.What == "entry" && l.name == next.name })
	p.Until("the dead voter dropped", from, func(l line) bool { return l.What == "voters" && !slices.Contains(l.voters(), dead) })
	p.Until("five good voters again", from, func(l line) bool { // with three of five lives gone no quorum is left, and rightly so
		return len(l.voters()) == 5 && !slices.Contains(l.voters(), dead)
	})

	lead := p.Last(func(l line) bool { return l.What == "leads" && l.name != "" })
	other := "m1"
	if lead.name == other {
		other = "m2"
	}
	from = p.Told()
	token := p.Last(heldBy("ring", 0)).Token
	p.Kill(lead.name)
	p.Kill(other) // in the middle of the election
	p.Start(lead.name)
	p.Start(other)
	p.Until("a leader after the cold restarts", from, func(l line) bool { return l.What == "leads" })
	p.Until("a decision after them", from, func(l line) bool {
		return l.What == "entry" && l.Kind == lease.Decide && l.Accepted && l.Duty == "ring" && l.Token >= token
	})
	p.check(true)
}

// check is over all that was told: one log in all, no stale command taken, no decision of an owner after its
// successor's first, one leader a term.
func (p *pack) check(woken bool) {
	entries, leaders := map[uint64]line{}, map[uint64]string{}
	first, lastOf := map[string]int64{}, map[string]int64{}
	tried, accepted := 0, 0
	for _, l := range p.Lines() {
		switch l.What {
		case "entry":
			e, known := entries[l.Index]
			if l.name = ""; known {
				l.At = e.At
			}
			if known && e != l {
				p.t.Errorf("entry %d differs: %+v and %+v", l.Index, e, l)
			}
			entries[l.Index] = l
		case "tried":
			tried++
		case "leads":
			if other := leaders[l.Index]; other != "" && other != l.name {
				p.t.Errorf("%s and %s lead term %d", other, l.name, l.Index)
			}
			leaders[l.Index] = l.name
		case "decides":
			key := fmt.Sprint(l.Duty, " ", l.Token)
			if first[key] == 0 {
				first[key] = l.At
			}
			lastOf[key] = l.At
		}
	}
	highest := map[string]uint64{}
	for index := uint64(0); index <= uint64(1<<20); index++ {
		e, ok := entries[index]
		if !ok || e.Kind != lease.Decide || !e.Accepted {
			continue
		}
		if accepted++; e.Token < highest[e.Duty] {
			p.t.Errorf("entry %d: token %d accepted after %d", index, e.Token, highest[e.Duty])
		}
		highest[e.Duty] = e.Token
	}
	for key, at := range lastOf {
		var duty string
		var token uint64
		_, _ = fmt.Sscan(key, &duty, &token)
		if then := first[fmt.Sprint(duty, " ", token+1)]; then != 0 && then < at {
			p.t.Errorf("%s: token %d still decided %d ms after the next had", duty, token, at-then)
		}
	}
	if woken && tried == 0 || accepted < 20 {
		p.t.Errorf("%d late commands tried, %d decisions accepted", tried, accepted)
	}
	p.t.Logf("%d late commands tried, %d decisions accepted, %d leaders' terms", tried, accepted, len(leaders))
}
