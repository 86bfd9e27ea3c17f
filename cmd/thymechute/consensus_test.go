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

// logFleet is several programs with a replicated log, connected through the fault network.
type logFleet struct {
	t            *testing.T
	net          *faultnet.Network
	names        []string
	environments map[string]*testutil.Environment
	settings     map[string]string // by member: the path of its settings file
	earlierLogs  map[string]string // by member: the logs of its earlier processes
}

// location is the zone and region of a member, as attributes of the element fleet.
type location struct{ zone, region string }

func (l location) String() string {
	if l.region == "" {
		return fmt.Sprintf("zone=%q", l.zone)
	}
	return fmt.Sprintf("zone=%q region=%q", l.zone, l.region)
}

// startLogFleet starts one member for each location; the first member bootstraps the log.
func startLogFleet(t *testing.T, subnet int, locations []location) *logFleet {
	f := &logFleet{
		t:            t,
		net:          faultnet.New(1),
		environments: map[string]*testutil.Environment{},
		settings:     map[string]string{},
		earlierLogs:  map[string]string{},
	}
	t.Cleanup(f.net.Close)
	type addresses struct{ bind, proxy, logBind, logProxy string }
	var all []addresses
	for n := range locations {
		name := fmt.Sprint("m", n)
		var a addresses
		a.bind, a.proxy = testutil.StartMemberProxy(t, f.net, name, subnet, n+1)
		a.logBind, a.logProxy = testutil.StartMemberProxy(t, f.net, name, subnet, n+1)
		all = append(all, a)
		f.names = append(f.names, name)
	}
	for n, name := range f.names {
		a := all[n]
		seed := all[0]
		bootstrap := ""
		if n == 0 { // it has a seed for when it is restarted
			seed = all[1]
			bootstrap = ` found="` + time.Now().Format(time.RFC3339) + `"`
		}
		f.settings[name] = filepath.Join(t.TempDir(), name+".xml")
		text := fmt.Sprintf(`<thymechute xmlns="urn:thymechute:operator:1"><fleet bind="%s" advertise="%s" %v probe-ms="200" sync-ms="500">`+
			`<seed address="%s"/><log bind="%s" advertise="%s" lease-ms="1000"%s/></fleet></thymechute>`,
			a.bind, a.proxy, locations[n], seed.proxy, a.logBind, a.logProxy, bootstrap)
		if err := os.WriteFile(f.settings[name], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.environments[name] = testutil.NewEnvironment(t, func(config map[string]any) { config["name"] = name })
		f.start(name)
	}
	return f
}

// start starts a member with its settings file; it has no state of earlier processes.
func (f *logFleet) start(name string) {
	env := f.environments[name]
	if env.Program != nil {
		f.earlierLogs[name] += env.Program.Log()
	}
	env.Program = testutil.StartProgramWith(f.t, env.Config, testutil.ProgramOptions{Args: []string{"--settings", f.settings[name]}})
}

func (f *logFleet) log(name string) string { return f.environments[name].Program.Log() }

// logLine is a line of a member's log, with the fields that the tests use.
type logLine struct {
	name, message string
	at            time.Time
	Duty          string
	Token         uint64
	Process       string
}

var logLinePattern = regexp.MustCompile(`(?m)^(\S+)\t\w+\t(m\d+)\t([^\t{]+?)(?:\t(\{.*\}))?$`)

var leaderPattern = regexp.MustCompile(`fleet log: (?:no leader|leader\t\{"process": "([^"]*)")`)

// lines returns the lines of all members whose message starts with "fleet log: " and the given prefix. The lines of each member
// are in order.
func (f *logFleet) lines(prefix string) (matching []logLine) {
	for _, name := range f.names {
		for _, m := range logLinePattern.FindAllStringSubmatch(f.earlierLogs[name]+f.log(name), -1) {
			if !strings.HasPrefix(m[3], "fleet log: "+prefix) {
				continue
			}
			l := logLine{name: name, message: m[3]}
			l.at, _ = time.Parse("2006-01-02T15:04:05.000Z", m[1])
			_ = json.Unmarshal([]byte(m[4]), &l)
			matching = append(matching, l)
		}
	}
	return matching
}

// holder returns the line about the lease with the highest token for a duty.
func (f *logFleet) holder(duty string) (highest logLine) {
	for _, l := range f.lines("lease acquired") {
		if l.Duty == duty && l.Token > highest.Token {
			highest = l
		}
	}
	return highest
}

func (f *logFleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	testutil.Eventually(f.t, what, func() bool {
		time.Sleep(20 * time.Millisecond) // the condition reads the complete logs, which grow
		return holds()
	})
}

// nextHolder waits for a holder of the duty with a higher token than in the line last.
func (f *logFleet) nextHolder(duty string, last logLine) logLine {
	f.t.Helper()
	f.eventually("a new holder of "+duty, func() bool { return f.holder(duty).Token > last.Token })
	return f.holder(duty)
}

// voterCount returns the number of voters according to the lines of the leaders.
func (f *logFleet) voterCount() int {
	added := len(f.lines("bootstrapped")) + len(f.lines("voter added"))
	return added - len(f.lines("server removed"))
}

// Five programs agree on one holder per duty, through a kill, a partition, a drain, and a restart of the bootstrapping member,
// which must not bootstrap a second log although its settings file is unchanged.
func TestProgramsAgreeOnOneHolder(t *testing.T) {
	f := startLogFleet(t, 70, []location{{zone: "z0"}, {zone: "z1"}, {zone: "z0"}, {zone: "z1"}, {zone: "z0"}})
	ring := f.nextHolder("ring", logLine{})
	f.nextHolder("roll", logLine{})
	f.eventually("five voters", func() bool { return f.voterCount() == 5 })

	f.environments[ring.name].Program.Cmd.Process.Kill()
	f.environments[ring.name].Program.AwaitExit()
	killed := ring.name
	ring = f.nextHolder("ring", ring)
	f.start(killed)
	f.eventually("the restarted process votes in place of the killed one", func() bool {
		return f.voterCount() == 5 && strings.Count(f.log(killed), "fleet log: leader") > 0
	})

	ring = f.holder("ring")
	isolated := ring.name
	f.net.Isolate(isolated, f.names)
	next := f.nextHolder("ring", ring)
	lost := f.lostAt(isolated, "ring")
	if lost.IsZero() || lost.After(next.at) {
		t.Errorf("isolated member %s lost the lease at %v, want before %s acquired it at %v", isolated, lost, next.name, next.at)
	}
	f.net.Heal()
	f.eventually("the isolated member has a leader again", func() bool {
		log := f.log(isolated)
		return strings.LastIndex(log, "fleet log: leader") > strings.LastIndex(log, "fleet log: no leader")
	})

	for _, name := range []string{f.holder("ring").name, "m0"} { // restart a lease holder, and the bootstrapping member
		f.restart(name)
		f.eventually(name+" follows again", func() bool { return strings.Contains(f.log(name), "fleet log: leader") })
	}
	f.eventually("both duties are held by running members", func() bool {
		for _, duty := range duties {
			if h := f.holder(duty); !strings.Contains(f.log(h.name), fmt.Sprintf(`"duty": %q, "token": %d`, duty, h.Token)) {
				return false
			}
		}
		return true
	})
	if bootstraps := f.lines("bootstrapped"); len(bootstraps) != 1 {
		t.Errorf("the log was bootstrapped %d times", len(bootstraps))
	}
	f.expectOneHolderPerToken()
}

// lostAt returns the time at which the member last logged the loss of the lease; zero if it never did.
func (f *logFleet) lostAt(name, duty string) (lost time.Time) {
	for _, l := range f.lines("lease lost") {
		if l.name == name && l.Duty == duty {
			lost = l.at
		}
	}
	return lost
}

// restart shuts a member down gracefully and starts it again.
func (f *logFleet) restart(name string) {
	f.t.Helper()
	p := f.environments[name].Program
	p.Terminate()
	if code := p.AwaitExit(); code != 0 {
		f.t.Errorf("member %s: exit code %d, want 0", name, code)
	}
	if !strings.Contains(p.Log(), "fleet left") {
		f.t.Errorf("%s did not leave the fleet", name)
	}
	f.start(name)
}

// expectOneHolderPerToken fails the test if two members acquired the lease of a duty with the same token.
func (f *logFleet) expectOneHolderPerToken() {
	f.t.Helper()
	type grant struct {
		duty  string
		token uint64
	}
	holders := map[grant]string{}
	for _, l := range f.lines("lease acquired") {
		acquired := grant{l.Duty, l.Token}
		if other, ok := holders[acquired]; ok && other != l.name {
			f.t.Errorf("both %s and %s acquired the lease %+v", other, l.name, acquired)
		}
		holders[acquired] = l.name
	}
}

// voters returns the processes that vote, according to the last line of a leader about each process.
func (f *logFleet) voters() (processes []string) {
	last := map[string]logLine{}
	for _, l := range append(append(f.lines("bootstrapped"), f.lines("voter added")...), f.lines("server removed")...) {
		if l.at.After(last[l.Process].at) {
			last[l.Process] = l
		}
	}
	for process, l := range last {
		if l.message != "fleet log: server removed" {
			processes = append(processes, process)
		}
	}
	return processes
}

// Seven programs are in three regions. The regions have two, two and one of the five voters, although the four members of the
// first region are in the most zones. The log therefore survives the loss of the first region.
func TestLostRegionLeavesHolders(t *testing.T) {
	f := startLogFleet(t, 72, []location{{"z1", "a"}, {"z2", "a"}, {"z3", "a"}, {"z4", "a"}, {"z0", "b"}, {"z0", "b"}, {"z0", "c"}})
	region := func(process string) string {
		name, _, _ := strings.Cut(process, "#")
		return map[string]string{"m4": "b", "m5": "b", "m6": "c"}[name] // "": region a
	}
	f.eventually("two voters in each of two regions and one in the third", func() bool {
		count := map[string]int{}
		for _, process := range f.voters() {
			count[region(process)]++
		}
		return count[""] == 2 && count["b"] == 2 && count["c"] == 1
	})
	for _, name := range f.names[:4] {
		f.environments[name].Program.Cmd.Process.Kill()
		f.environments[name].Program.AwaitExit()
	}
	f.eventually("all remaining members have a leader among them", func() bool {
		for _, name := range f.names[4:] {
			leaders := leaderPattern.FindAllStringSubmatch(f.log(name), -1)
			if len(leaders) == 0 || region(leaders[len(leaders)-1][1]) == "" {
				return false
			}
		}
		return true
	})
	f.eventually("both duties are held by remaining members", func() bool {
		return region(f.holder("ring").name) != "" && region(f.holder("roll").name) != ""
	})
}
