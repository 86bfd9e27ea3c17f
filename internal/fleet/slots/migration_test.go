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

// Five processes call the backends of a ring that grows from four backends to six and shrinks to three. Meanwhile a member is
// suspended and then isolated, and the leader is killed during a migration and restarted without its state. No two backends
// may ever work on the same key at the same time.
func TestNoKeyIsCalledAtTwoBackendsThroughFaults(t *testing.T) {
	if calls, violations := runMigrationScript(t, 8); violations != 0 || calls < 1000 {
		t.Errorf("%d of %d calls arrived while another backend worked on their key; want none, of at least 1000", violations, calls)
	}
}

// Shows that the check of the previous test is effective: it must detect members that continue calls after their lease.
func TestCallsPastTheLeaseAreDetected(t *testing.T) {
	if calls, violations := runMigrationScript(t, 10, callPastLeaseVariable+"=1"); violations == 0 {
		t.Errorf("none of %d calls arrived while another backend worked on its key: the check is ineffective", calls)
	}
}

// migrationScript is the cluster on which runMigrationScript runs.
type migrationScript struct {
	*testutil.Cluster[memberEvent]
	t            *testing.T
	backends     *recordingBackends
	allBackends  []ring.Backend
	backendsFile string
}

// runMigrationScript returns the number of calls, and the number of those that arrived while another backend worked on their
// key. environment is added to that of each member. If it is not empty, the script ends after the isolation, which is what
// it affects.
func runMigrationScript(t *testing.T, subnet int, environment ...string) (calls, violations int) {
	s := startMigrationScript(t, subnet, environment)
	s.setBackends(s.allBackends[:5]...)
	s.awaitTable("without faults", 2, "")
	faulty := s.suspendMember()
	s.isolateMember(faulty)
	if len(environment) > 0 {
		time.Sleep(time.Second)
		return s.backends.counts()
	}
	s.Net.Heal()
	s.awaitTable("after the partition", 4, "")
	s.killLeader()
	time.Sleep(time.Second) // for calls under the last table

	calls, violations = s.backends.counts()
	t.Logf("%d calls, %d while another backend worked on the key", calls, violations)
	for _, e := range s.Events() {
		if isDigestMismatch(e) {
			t.Errorf("%s: %s", e.member, e.Text)
		}
	}
	return calls, violations
}

// startMigrationScript starts five members, with variables added to their environment, and waits until all of them vote and
// use a table of four backends.
func startMigrationScript(t *testing.T, subnet int, variables []string) *migrationScript {
	s := &migrationScript{t: t, backends: &recordingBackends{active: map[string]map[string]int{}},
		backendsFile: filepath.Join(t.TempDir(), "want.json")}
	for n := range 6 {
		name := fmt.Sprint("b", n)
		s.allBackends = append(s.allBackends, ring.Backend{Name: name, Zone: s.backends.serve(t, name), Weight: 1})
	}
	s.setBackends(s.allBackends[:4]...)
	s.Cluster = testutil.NewCluster(t, subnet, member.PortCount, func(e *memberEvent, name string) { e.member = name })
	for n := range 5 {
		environment := append([]string{backendsFileVariable + "=" + s.backendsFile}, variables...)
		if n == 0 {
			environment = append(environment, member.BootstrapVariable+"=1")
		}
		if s.Start(fmt.Sprint("m", n), environment...); n == 0 {
			s.WaitFor("first leader", 0, isLeaseAcquired)
		}
	}
	for _, name := range s.Names() {
		s.WaitFor("five voters at "+name, 0, func(e memberEvent) bool {
			return e.Kind == eventVoters && e.Version == 5 && e.member == name
		})
	}
	s.awaitTable("at first", 1, "")
	return s
}

func (s *migrationScript) setBackends(backends ...ring.Backend) {
	writeBackendsFile(s.t, s.backendsFile, backends)
}

// awaitTable waits until all members use at least this table version, except for the named one, if any.
func (s *migrationScript) awaitTable(when string, version uint64, except string) {
	s.t.Helper()
	for _, name := range s.Names() {
		if name != except {
			s.WaitFor(fmt.Sprintf("table %d at %s, %s", version, name, when), 0, isTableAt(name, version))
		}
	}
}

// suspendMember suspends a member during a migration, and resumes it once the others use the next table, which requires that
// its lease has expired.
func (s *migrationScript) suspendMember() (name string) {
	name = "m4"
	if s.Last(isLeaseAcquired).member == name {
		name = "m3"
	}
	s.Signal(name, syscall.SIGSTOP)
	start := time.Now()
	s.setBackends(s.allBackends...)
	s.awaitTable("with one suspended", 3, name)
	s.t.Logf("with one member suspended the table was active after %v", time.Since(start).Round(time.Millisecond))
	s.Signal(name, syscall.SIGCONT)
	s.awaitTable("after it was resumed", 3, "")
	return name
}

// isolateMember isolates a member during a migration. The member continues to call until its lease has expired.
func (s *migrationScript) isolateMember(name string) {
	s.Net.Isolate(name, s.Names())
	s.setBackends(s.allBackends[1:]...)
	s.awaitTable("with one isolated", 4, name)
}

// killLeader kills the leader during a migration or just before, and restarts it.
func (s *migrationScript) killLeader() {
	first := s.EventCount()
	killed := s.Last(isLeaseAcquired).member
	s.setBackends(s.allBackends[1:4]...)
	time.Sleep(30 * time.Millisecond)
	s.Kill(killed)
	s.WaitFor("a new leader", first, isLeaseAcquired)
	s.awaitTable("with the leader killed", 5, killed)
	first = s.EventCount()
	s.Start(killed, backendsFileVariable+"="+s.backendsFile)
	s.WaitFor("table at the restarted leader", first, isTableAt(killed, 5))
}
