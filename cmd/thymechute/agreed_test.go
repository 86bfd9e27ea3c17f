package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/faultnet"
	"thymechute/internal/testutil"
)

// logFleet is several programs with an agreed log, behind the fault network.
type logFleet struct {
	t        *testing.T
	net      *faultnet.Net
	names    []string
	worlds   map[string]*testutil.Environment
	settings map[string]string
	before   map[string]string // what a process that was started anew under this name had logged
}

// place is where a member stands, as attributes of the element fleet.
type place struct{ zone, region string }

func (p place) String() string {
	if p.region == "" {
		return fmt.Sprintf("zone=%q", p.zone)
	}
	return fmt.Sprintf("zone=%q region=%q", p.zone, p.region)
}

// startLogFleet starts one at each place, the first founding the log.
func startLogFleet(t *testing.T, octet int, at []place) *logFleet {
	f := &logFleet{t: t, net: faultnet.New(1), worlds: map[string]*testutil.Environment{}, settings: map[string]string{}, before: map[string]string{}}
	t.Cleanup(f.net.Close)
	type ports struct{ bind, front, logBind, logFront string }
	var all []ports
	for n := range at {
		name := fmt.Sprint("m", n)
		own, front := fmt.Sprintf("127.0.%d.%d", octet, n+1), fmt.Sprintf("127.0.%d.%d", octet+1, n+1)
		p := ports{testutil.FreePort(t, own), testutil.FreePort(t, front), testutil.FreePort(t, own), testutil.FreePort(t, front)}
		for _, pair := range [][2]string{{p.bind, p.front}, {p.logBind, p.logFront}} {
			if err := f.net.Front(name, pair[0], pair[1]); err != nil {
				t.Fatal(err)
			}
		}
		all, f.names = append(all, p), append(f.names, name)
	}
	for n, name := range f.names {
		p, seed, found := all[n], all[0], ""
		if n == 0 { // its seed is for when it starts again
			seed, found = all[1], ` found="`+time.Now().Format(time.RFC3339)+`"`
		}
		f.settings[name] = filepath.Join(t.TempDir(), name+".xml")
		text := fmt.Sprintf(`<thymechute xmlns="urn:thymechute:operator:1"><fleet bind="%s" advertise="%s" %v probe-ms="200" sync-ms="500">`+
			`<seed address="%s"/><log bind="%s" advertise="%s" lease-ms="1000"%s/></fleet></thymechute>`,
			p.bind, p.front, at[n], seed.front, p.logBind, p.logFront, found)
		if err := os.WriteFile(f.settings[name], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.worlds[name] = testutil.NewEnvironment(t, func(given map[string]any) { given["name"] = name })
		f.start(name)
	}
	return f
}

// start starts a member, cold, with the file it had.
func (f *logFleet) start(name string) {
	w := f.worlds[name]
	if w.Program != nil {
		f.before[name] += w.Program.Log()
	}
	w.Program = testutil.StartWith(f.t, w.Config, nil, "--settings", f.settings[name])
}

func (f *logFleet) log(name string) string { return f.worlds[name].Program.Log() }

// line is one of a program's log: when, and the words behind its name.
type line struct {
	name, words string
	at          time.Time
	Duty        string
	Token       uint64
	Process     string
}

var lineForm = regexp.MustCompile(`(?m)^(\S+)\t\w+\t(m\d+)\t([^\t{]+?)(?:\t(\{.*\}))?$`)

var leaderForm = regexp.MustCompile(`fleet log: (?:no leader|leader\t\{"process": "([^"]*)")`)

// lines are those of all programs with these words, each program's in its order.
func (f *logFleet) lines(words string) (out []line) {
	for _, name := range f.names {
		for _, m := range lineForm.FindAllStringSubmatch(f.before[name]+f.log(name), -1) {
			if !strings.HasPrefix(m[3], "fleet log: "+words) {
				continue
			}
			l := line{name: name, words: m[3]}
			l.at, _ = time.Parse("2006-01-02T15:04:05.000Z", m[1])
			_ = json.Unmarshal([]byte(m[4]), &l)
			out = append(out, l)
		}
	}
	return out
}

// holder is the line with the highest token of a duty.
func (f *logFleet) holder(duty string) (top line) {
	for _, l := range f.lines("duty held") {
		if l.Duty == duty && l.Token > top.Token {
			top = l
		}
	}
	return top
}

func (f *logFleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	testutil.Eventually(f.t, what, func() bool {
		time.Sleep(20 * time.Millisecond) // logs grow, and are read whole
		return holds()
	})
}

// next waits for another holder of the duty than the one of that line.
func (f *logFleet) next(duty string, last line) line {
	f.t.Helper()
	f.eventually("a new holder of "+duty, func() bool { return f.holder(duty).Token > last.Token })
	return f.holder(duty)
}

// votes are members that vote now, by the leaders' words; a process that was dropped or ended votes no more.
func (f *logFleet) votes() int {
	n := len(f.lines("founded")) + len(f.lines("member votes"))
	return n - len(f.lines("member dropped"))
}

// Five real programs agree on one owner a duty: through a kill, a cut, a drain and a founder that starts again with its old
// file, which must not found a second log.
func TestProgramsAgreeOnOneOwner(t *testing.T) {
	f := startLogFleet(t, 70, []place{{zone: "z0"}, {zone: "z1"}, {zone: "z0"}, {zone: "z1"}, {zone: "z0"}})
	ring := f.next("ring", line{})
	f.next("roll", line{})
	f.eventually("five voters", func() bool { return f.votes() == 5 })

	f.worlds[ring.name].Program.Cmd.Process.Kill()
	f.worlds[ring.name].Program.Exit()
	killed := ring.name
	ring = f.next("ring", ring)
	f.start(killed)
	f.eventually("its next life votes in place of the dead one", func() bool {
		return f.votes() == 5 && strings.Count(f.log(killed), "fleet log: leader") > 0
	})

	ring = f.holder("ring")
	cut := ring.name
	f.net.Isolate(cut, f.names)
	next := f.next("ring", ring)
	lost := time.Time{}
	for _, l := range f.lines("duty lost") {
		if l.name == cut && l.Duty == "ring" {
			lost = l.at
		}
	}
	if lost.IsZero() || lost.After(next.at) {
		t.Errorf("%s, cut off, lost the duty at %v, and %s held it from %v", cut, lost, next.name, next.at)
	}
	f.net.Heal()
	f.eventually("the one cut off has a leader again", func() bool {
		log := f.log(cut)
		return strings.LastIndex(log, "fleet log: leader") > strings.LastIndex(log, "fleet log: no leader")
	})

	for _, name := range []string{f.holder("ring").name, "m0"} { // an owner that drains, and the founder, which starts again
		p := f.worlds[name].Program
		p.Term()
		if code := p.Exit(); code != 0 {
			t.Errorf("%s: exit code %d", name, code)
		}
		if !strings.Contains(p.Log(), "fleet left") {
			t.Errorf("%s did not leave", name)
		}
		f.start(name)
		f.eventually(name+" follows again", func() bool { return strings.Contains(f.log(name), "fleet log: leader") })
	}
	f.eventually("both duties are held by members that stand", func() bool {
		for _, duty := range duties {
			if h := f.holder(duty); !strings.Contains(f.log(h.name), fmt.Sprintf(`"duty": %q, "token": %d`, duty, h.Token)) {
				return false
			}
		}
		return true
	})
	if founded := f.lines("founded"); len(founded) != 1 {
		t.Errorf("the log was founded %d times", len(founded))
	}
	for duty, tokens := range map[string]map[uint64]string{"ring": {}, "roll": {}} {
		for _, l := range f.lines("duty held") {
			if l.Duty != duty {
				continue
			}
			if other, ok := tokens[l.Token]; ok && other != l.name {
				t.Errorf("%s: %s and %s both held it under token %d", duty, other, l.name, l.Token)
			}
			tokens[l.Token] = l.name
		}
	}
}

// voting are the processes that vote, by the leaders' last words of each.
func (f *logFleet) voting() (out []string) {
	last := map[string]line{}
	for _, l := range append(append(f.lines("founded"), f.lines("member votes")...), f.lines("member dropped")...) {
		if l.at.After(last[l.Process].at) {
			last[l.Process] = l
		}
	}
	for process, l := range last {
		if l.words != "fleet log: member dropped" {
			out = append(out, process)
		}
	}
	return out
}

// Seven real programs in three regions, by the attribute region of their files: the five voters lie two, two and one, though
// the first region's four are over the most zones; so with that region lost the log goes on.
func TestARegionOfTheFileLostLeavesAnOwner(t *testing.T) {
	f := startLogFleet(t, 72, []place{{"z1", "a"}, {"z2", "a"}, {"z3", "a"}, {"z4", "a"}, {"z0", "b"}, {"z0", "b"}, {"z0", "c"}})
	region := func(process string) string {
		name, _, _ := strings.Cut(process, "#")
		return map[string]string{"m4": "b", "m5": "b", "m6": "c"}[name] // "": the first
	}
	f.eventually("two voters in each of two regions and one in the third", func() bool {
		count := map[string]int{}
		for _, process := range f.voting() {
			count[region(process)]++
		}
		return count[""] == 2 && count["b"] == 2 && count["c"] == 1
	})
	for _, name := range f.names[:4] {
		f.worlds[name].Program.Cmd.Process.Kill()
		f.worlds[name].Program.Exit()
	}
	f.eventually("all that are left have a leader among them", func() bool {
		for _, name := range f.names[4:] {
			leaders := leaderForm.FindAllStringSubmatch(f.log(name), -1)
			if len(leaders) == 0 || region(leaders[len(leaders)-1][1]) == "" {
				return false
			}
		}
		return true
	})
	f.eventually("both duties are held by members that are left", func() bool {
		return region(f.holder("ring").name) != "" && region(f.holder("roll").name) != ""
	})
}
