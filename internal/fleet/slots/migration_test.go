package slots

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/ring"
	"thymechute/internal/testutil"
	"thymechute/internal/testutil/member"
)

// Five processes call by a ring that grows from four backends to six and shrinks to three, while a member is suspended, one
// is cut off, the leader is killed in mid-migration and started without its state.
func TestNoKeyIsCalledAtTwoBackendsThroughFaults(t *testing.T) {
	if calls, violations := runMigrationScript(t, 8); violations != 0 || calls < 1000 {
		t.Errorf("%d of %d calls found their key at another backend", violations, calls)
	}
}

// The mutation that the check must notice: members that call past their lease.
func TestCallsPastTheLeaseAreDetected(t *testing.T) {
	if calls, violations := runMigrationScript(t, 10, overstayVariable+"=1"); violations == 0 {
		t.Errorf("none of %d calls found its key at another backend: the check sees nothing", calls)
	}
}

// migrationScript is the cluster of runMigrationScript.
type migrationScript struct {
	*testutil.Cluster[memberEvent]
	t          *testing.T
	backends   *recordingBackends
	all        []ring.Backend
	wantedFile string
}

// runMigrationScript returns the calls made, and those that found their key at another backend. A mutation's script ends
// with the cut, which is its case.
func runMigrationScript(t *testing.T, subnet int, mutation ...string) (calls, violations int) {
	s := startMigrationScript(t, subnet, mutation)
	s.setWanted(s.all[:5]...)
	s.awaitTable("all connected", 2, "")
	faulty := s.suspendMember()
	s.cutOffMember(faulty)
	if len(mutation) > 0 {
		time.Sleep(time.Second)
		return s.backends.counts()
	}
	s.Net.Heal()
	s.awaitTable("healed", 4, "")
	s.killLeader()
	time.Sleep(time.Second) // calls by the last table

	calls, violations = s.backends.counts()
	t.Logf("%d calls, %d at two backends", calls, violations)
	for _, e := range s.Events() {
		if isDigestMismatch(e) {
			t.Errorf("%s: %s", e.member, e.Text)
		}
	}
	return calls, violations
}

// startMigrationScript starts five members, and waits until all vote and go by a table of four backends.
func startMigrationScript(t *testing.T, subnet int, mutation []string) *migrationScript {
	s := &migrationScript{t: t, backends: &recordingBackends{active: map[string]map[string]int{}},
		wantedFile: filepath.Join(t.TempDir(), "want.json")}
	for n := range 6 {
		name := fmt.Sprint("b", n)
		s.all = append(s.all, ring.Backend{Name: name, Zone: s.backends.serve(t, name), Weight: 1})
	}
	s.setWanted(s.all[:4]...)
	s.Cluster = testutil.NewCluster(t, subnet, member.Ports, func(e *memberEvent, name string) { e.member = name })
	for n := range 5 {
		environment := append([]string{wantedFileVariable + "=" + s.wantedFile}, mutation...)
		if n == 0 {
			environment = append(environment, member.FounderVariable+"=1")
		}
		if s.Start(fmt.Sprint("m", n), environment...); n == 0 {
			s.WaitFor("first leader", 0, isLeaseAcquired)
		}
	}
	added := 0
	s.WaitFor("five voters", 0, func(e memberEvent) bool {
		if e.Kind == eventVoterAdded {
			added++
		}
		return added == 4
	})
	s.awaitTable("at first", 1, "")
	return s
}

func (s *migrationScript) setWanted(backends ...ring.Backend) {
	setWantedBackends(s.t, s.wantedFile, backends)
}

// awaitTable waits until all members but one go by a version.
func (s *migrationScript) awaitTable(when string, version uint64, except string) {
	s.t.Helper()
	for _, name := range s.Names() {
		if name != except {
			s.WaitFor(fmt.Sprintf("table %d at %s, %s", version, name, when), 0, isTableAt(name, version))
		}
	}
}

// suspendMember suspends a member in a migration: it acknowledges nothing, and its lease expires.
func (s *migrationScript) suspendMember() (name string) {
	name = "m4"
	if s.Last(isLeaseAcquired).member == name {
		name = "m3"
	}
	s.Signal(name, syscall.SIGSTOP)
	start := time.Now()
	s.setWanted(s.all...)
	s.awaitTable("one suspended", 3, name)
	s.t.Logf("with one member suspended the table was active after %v", time.Since(start).Round(time.Millisecond))
	s.Signal(name, syscall.SIGCONT)
	s.awaitTable("it is back", 3, "")
	return name
}

// cutOffMember cuts a member off in a migration: it calls on until its lease has expired.
func (s *migrationScript) cutOffMember(name string) {
	s.Net.Isolate(name, s.Names())
	s.setWanted(s.all[1:]...)
	s.awaitTable("one cut off", 4, name)
}

// killLeader kills the leader in mid-migration, or just before it: both must work.
func (s *migrationScript) killLeader() {
	first := s.EventCount()
	killed := s.Last(isLeaseAcquired).member
	s.setWanted(s.all[1:4]...)
	time.Sleep(30 * time.Millisecond)
	s.Kill(killed)
	s.WaitFor("a new leader", first, isLeaseAcquired)
	s.awaitTable("the leader killed", 5, killed)
	first = s.EventCount()
	s.Start(killed, wantedFileVariable+"="+s.wantedFile)
	s.WaitFor("the restarted one's table", first, isTableAt(killed, 5))
}
