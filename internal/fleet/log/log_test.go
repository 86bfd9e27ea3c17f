package log

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/owner"
	"thymechute/internal/decide/voters"
	"thymechute/internal/fleet/member"
	"thymechute/internal/stand/faultnet"
)

var (
	lease  = owner.Lease{Length: time.Second, Drift: 0.01, Margin: 20 * time.Millisecond}
	bounds = voters.Bounds{Most: 5, Settle: 300 * time.Millisecond, HoldDown: 2 * time.Second}
)

// line is what a child tells, one JSON object a line.
type line struct {
	What         string // held, lost, decides, entry, tried, leads, change
	Duty, Why    string
	Token, Index uint64
	Kind         owner.Kind
	Accepted     bool
	At           int64 // Unix ms
	name         string
}

// TestMain: the test binary is also the process under test, until its standard input closes or its time is up.
func TestMain(m *testing.M) {
	if os.Getenv("LOG_CHILD") != "" {
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

func (t *teller) Held(duty string, token uint64) {
	held.Store(duty, token)
	t.tell(line{What: "held", Duty: duty, Token: token})
}
func (t *teller) Lost(duty string) { t.tell(line{What: "lost", Duty: duty}) }
func (t *teller) Entry(index uint64, c owner.Command, o owner.Outcome) {
	t.tell(line{What: "entry", Duty: c.Duty, Token: c.Token, Index: index, Kind: c.Kind, Accepted: o.Accepted})
}

func (t *teller) Restored([]byte)    {}
func (t *teller) Tick(time.Duration) {}

// quiet is a member.Watcher that hears nothing: the view is asked for.
type quiet struct{}

func (quiet) Joined(member.Record)  {}
func (quiet) Updated(member.Record) {}
func (quiet) Left(string)           {}
func (quiet) Refused(string, error) {}

func child() {
	go func() { time.Sleep(100 * time.Second); os.Exit(3) }() // bounded, whatever the parent does
	name, bind, at, front := os.Getenv("LOG_CHILD"), os.Getenv("LOG_MEMBER"), os.Getenv("LOG_BIND"), os.Getenv("LOG_FRONT")
	life := uint64(time.Now().UnixNano())
	process := fmt.Sprintf("%s#%x", name, life)
	t := &teller{}
	var seeds []string
	if s := os.Getenv("LOG_SEED"); s != "" {
		seeds = []string{s}
	}
	record := member.Record{Zone: os.Getenv("LOG_ZONE"), Rank: -1, Process: process, Log: front}
	ready := make(chan struct{})
	m, err := member.Start(member.Config{Name: name, Bind: bind, Advertise: os.Getenv("LOG_MEMBER_FRONT"), Seeds: seeds, Most: 16, Probe: 200 * time.Millisecond,
		Sync: 500 * time.Millisecond, Record: record, Message: func(b []byte) { <-ready; t.d.Incoming(b) }}, quiet{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	t.d, err = Drive(Config{Process: process, Bind: at, Advertise: front, Found: os.Getenv("LOG_FOUND") != "", Duties: []string{"ring", "roll"},
		Beat: 300 * time.Millisecond}, lease, life, t, func(to string, b []byte) error { return m.Send(to[:strings.IndexByte(to, '#')], b) })
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	close(ready)
	place, _ := strconv.Atoi(name[1:])
	t.d.Placed("ring", place)
	t.d.Placed("roll", place+2)
	t.d.Care(func() (out []Peer) {
		for _, r := range m.View() {
			out = append(out, Peer{r.Process, r.Log, r.Zone, r.Applied, r.Flag == "leaving"})
		}
		return out
	}, bounds, func(c voters.Change) {
		t.tell(line{What: "change", Kind: owner.Kind(c.Kind), Why: c.Why + " " + c.Process})
	})
	go func() {
		led, last, applied := uint64(0), time.Now(), uint64(0) // led: the last term told
		for n := 0; ; n++ {
			time.Sleep(20 * time.Millisecond)
			if time.Since(last) > lease.Length { // it stood still: on without looking, as one does who had checked just before
				held.Range(func(duty, token any) bool {
					c := owner.Command{Kind: owner.Do, Duty: duty.(string), Member: process, Life: life, Token: token.(uint64), Body: "late"}
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
	t.d.Leave()
	time.Sleep(300 * time.Millisecond) // what it proposed goes out; the claim is not on this
	_ = m.Leave(time.Second)
	t.d.Stop()
}

type process struct {
	cmd   *exec.Cmd
	stdin io.Closer
}

// pack is the parent's side: five processes, all that they told, and what waits for a line.
type pack struct {
	t       *testing.T
	mu      sync.Mutex
	lines   []line
	more    chan struct{}
	runs    map[string]*process
	address map[string][2]string // what the others reach its member and its log at: their proxies
	binds   map[string][2]string
	net     *faultnet.Net
}

func port(t *testing.T, ip string) string {
	for range 20 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		l.Close()
		if u, err := net.ListenPacket("udp", a); err == nil {
			u.Close()
			return a
		}
	}
	t.Fatal("no free port")
	return ""
}

func (p *pack) start(name string, found bool) {
	n, _ := strconv.Atoi(name[1:])
	if _, known := p.address[name]; !known {
		at, before := fmt.Sprintf("127.0.6.%d", n+1), fmt.Sprintf("127.0.7.%d", n+1)
		p.binds[name] = [2]string{port(p.t, at), port(p.t, at)}
		p.address[name] = [2]string{port(p.t, before), port(p.t, before)}
		for k := range 2 {
			if err := p.net.Front(name, p.binds[name][k], p.address[name][k]); err != nil {
				p.t.Fatal(err)
			}
		}
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), "LOG_CHILD="+name, "LOG_MEMBER="+p.binds[name][0], "LOG_BIND="+p.binds[name][1],
		"LOG_MEMBER_FRONT="+p.address[name][0], "LOG_FRONT="+p.address[name][1],
		"LOG_ZONE=z"+fmt.Sprint(n%3))
	if found {
		cmd.Env = append(cmd.Env, "LOG_FOUND=1")
	}
	for other, a := range p.address {
		if other != name {
			cmd.Env = append(cmd.Env, "LOG_SEED="+a[0])
			break
		}
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	stdin, err1 := cmd.StdinPipe()
	out, err2 := cmd.StdoutPipe()
	if err1 != nil || err2 != nil {
		p.t.Fatal(err1, err2)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.runs[name] = &process{cmd, stdin}
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			l := line{name: name}
			if json.Unmarshal(in.Bytes(), &l) == nil {
				p.mu.Lock()
				p.lines = append(p.lines, l)
				p.mu.Unlock()
				select {
				case p.more <- struct{}{}:
				default:
				}
			}
		}
	}()
}

// until waits for a line from the from-th on, and returns it.
func (p *pack) until(what string, from int, holds func(line) bool) line {
	p.t.Helper()
	limit := time.After(25 * time.Second)
	for {
		p.mu.Lock()
		for _, l := range p.lines[from:] {
			if holds(l) {
				p.mu.Unlock()
				return l
			}
		}
		p.mu.Unlock()
		select {
		case <-p.more:
		case <-limit:
			for _, l := range p.lines { // what was changed, for whoever reads this
				if l.What == "change" || l.What == "leads" {
					p.t.Logf("%s %s %d %s", l.name, l.What, l.Kind, l.Why)
				}
			}
			p.t.Fatalf("no %s", what)
		}
	}
}

func (p *pack) told() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

func heldBy(duty string, over uint64) func(line) bool {
	return func(l line) bool { return l.What == "held" && l.Duty == duty && l.Token > over }
}

// five starts the processes, each behind its proxies, and waits until all vote.
func five(t *testing.T) *pack {
	p := &pack{t: t, more: make(chan struct{}, 1), runs: map[string]*process{}, address: map[string][2]string{},
		binds: map[string][2]string{}, net: faultnet.New(1)}
	t.Cleanup(func() {
		for _, r := range p.runs {
			_ = r.cmd.Process.Kill()
			_ = r.cmd.Wait()
		}
		p.net.Close()
	})
	p.start("m0", true)
	p.until("first leader", 0, func(l line) bool { return l.What == "leads" })
	for n := range 4 {
		p.start(fmt.Sprint("m", n+1), false)
	}
	p.until("five voters", 0, func(l line) bool {
		return l.What == "change" && strings.HasPrefix(l.Why, "nothing to change") && p.votes() == 5
	})
	return p
}

// Cuts between the five: the owner cut off both ways, then what it sends alone, two against three with the owner among
// the two. Each time another takes over once its lease is over, and what it says after the heal changes nothing.
func TestOneOwnerThroughCutsAndAPartition(t *testing.T) {
	p := five(t)
	all := []string{"m0", "m1", "m2", "m3", "m4"}
	p.until("an owner", 0, heldBy("ring", 0))
	for _, c := range []struct {
		what string
		cut  func(owner string, others []string)
	}{
		{"cut off", func(o string, _ []string) { p.net.Isolate(o, all) }},
		{"not heard", func(o string, others []string) {
			for _, other := range others {
				p.net.Cut(o, other)
			}
		}},
		{"in the smaller part", func(o string, others []string) { p.net.Partition([]string{o, others[0]}, others[1:]) }},
	} {
		held := p.last(heldBy("ring", 0))
		var others []string
		for _, name := range all {
			if name != held.name {
				others = append(others, name)
			}
		}
		from, began := p.told(), time.Now()
		c.cut(held.name, others)
		next := p.until("a successor of the owner "+c.what, from, heldBy("ring", held.Token))
		t.Logf("%s, replaced after %v", c.what, time.Since(began).Round(time.Millisecond))
		if next.name == held.name {
			t.Errorf("%s: %s succeeds itself", c.what, held.name)
		}
		if c.what == "in the smaller part" && next.name == others[0] {
			t.Errorf("the smaller part has an owner of its own: %s", next.name)
		}
		p.net.Heal()
		from = p.told()
		p.until(held.name+" hearing the log again", from, func(l line) bool { return l.What == "entry" && l.name == held.name && l.Token > held.Token })
	}
	p.check(false)
}

// Five processes over raft: the owner of a duty is stopped past its lease and woken, killed, the leader and another
// voter killed and started cold in the middle of the election.
func TestOneOwnerThroughPauseKillAndColdRestarts(t *testing.T) {
	p := five(t)
	ring := p.until("an owner", 0, heldBy("ring", 0))
	ring = p.last(heldBy("ring", 0))
	from := p.told()
	_ = p.runs[ring.name].cmd.Process.Signal(syscall.SIGSTOP)
	stopped := time.Now()
	next := p.until("a successor of the stopped owner", from, heldBy("ring", ring.Token))
	t.Logf("stopped owner replaced after %v", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Second - min(time.Since(stopped), time.Second)) // it stands still for more than a lease in any case
	_ = p.runs[ring.name].cmd.Process.Signal(syscall.SIGCONT)
	p.until("the late command in the log", from, func(l line) bool {
		return l.What == "entry" && l.Kind == owner.Do && l.Duty == "ring" && l.Token == ring.Token && !l.Accepted
	})

	from = p.told()
	killed := time.Now()
	p.kill(next.name)
	p.until("a successor of the killed owner", from, heldBy("ring", next.Token))
	t.Logf("killed owner replaced after %v", time.Since(killed).Round(time.Millisecond))
	p.start(next.name, false)
	p.until("the cold one's entries", p.told(), func(l line) bool { return l.What == "entry" && l.name == next.name })
	p.until("the dead voter dropped", from, func(l line) bool {
		return l.What == "change" && voters.Kind(l.Kind) == voters.Drop && strings.Contains(l.Why, " "+next.name+"#")
	})
	p.until("five good voters again", p.told(), func(l line) bool { return l.What == "entry" }) // the log goes on

	lead := p.last(func(l line) bool { return l.What == "leads" && l.name != "" })
	other := "m1"
	if lead.name == other {
		other = "m2"
	}
	from = p.told()
	token := p.last(heldBy("ring", 0)).Token
	p.kill(lead.name)
	p.kill(other) // in the middle of the election
	p.start(lead.name, false)
	p.start(other, false)
	p.until("a leader after the cold restarts", from, func(l line) bool { return l.What == "leads" })
	p.until("a decision after them", from, func(l line) bool {
		return l.What == "entry" && l.Kind == owner.Do && l.Accepted && l.Duty == "ring" && l.Token >= token
	})
	p.check(true)
}

func (p *pack) kill(name string) {
	_ = p.runs[name].cmd.Process.Kill()
	_ = p.runs[name].cmd.Wait()
}

func (p *pack) last(holds func(line) bool) (last line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if holds(l) {
			last = l
		}
	}
	return last
}

// votes counts the voters by the changes told so far; the caller holds the lines.
func (p *pack) votes() int {
	n := 1
	for _, l := range p.lines {
		if l.What == "change" && voters.Kind(l.Kind) == voters.Vote {
			n++
		}
	}
	return n
}

// check is over all that was told: one log in all, no stale command taken, no decision of an owner after its
// successor's first, one leader a term.
func (p *pack) check(woken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, leaders := map[uint64]line{}, map[uint64]string{}
	first, lastOf := map[string]int64{}, map[string]int64{}
	tried, accepted := 0, 0
	for _, l := range p.lines {
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
		if !ok || e.Kind != owner.Do || !e.Accepted {
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
