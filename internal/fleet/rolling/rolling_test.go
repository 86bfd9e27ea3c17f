package rolling

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/internal/testutil/member"
)

const (
	memberCount = 8
	zoneCount   = 2
	zoneSize    = memberCount / zoneCount
	oldRelease  = "old"
	newRelease  = "new"
)

func isDrain(e memberEvent) bool         { return e.Kind == eventDrains }
func isLeaseAcquired(e memberEvent) bool { return e.Kind == eventLeaseAcquired }

// rolloutCluster is a cluster of supervised members. As an init system does, a supervisor restarts a member that has ended,
// with the release that is installed by then.
type rolloutCluster struct {
	*testutil.Cluster[memberEvent]
	t           *testing.T
	releaseFile string
	installed   atomic.Value  // release
	done        chan struct{} // closed to stop the supervisors
	supervisors sync.WaitGroup
}

// startRolloutCluster starts all members with the old release.
func startRolloutCluster(t *testing.T, subnet int) *rolloutCluster {
	c := &rolloutCluster{t: t, releaseFile: filepath.Join(t.TempDir(), "want"), done: make(chan struct{})}
	c.writeReleaseFile("")
	c.installed.Store(oldRelease)
	c.Cluster = testutil.NewCluster(t, subnet, member.PortCount, func(e *memberEvent, name string) { e.member = name })
	for n := range memberCount {
		name := fmt.Sprint("m", n)
		if n == 0 {
			c.Start(name, append(c.environment(n), member.BootstrapVariable+"=1")...)
			c.WaitFor("a leader", 0, isLeaseAcquired)
		} else {
			c.Start(name, c.environment(n)...)
		}
		c.supervisors.Add(1)
		go c.supervise(n, name)
	}
	return c
}

func (c *rolloutCluster) environment(n int) []string {
	return []string{releaseFileVariable + "=" + c.releaseFile, fmt.Sprintf("%s=z%d", zoneVariable, n%zoneCount),
		releaseVariable + "=" + c.installed.Load().(string)}
}

func (c *rolloutCluster) supervise(n int, name string) {
	defer c.supervisors.Done()
	for {
		select {
		case <-c.done:
			return
		case <-c.Exited(name):
			c.Start(name, c.environment(n)...)
		}
	}
}

// stopSupervisors ends the restarting of members.
func (c *rolloutCluster) stopSupervisors() {
	close(c.done)
	c.supervisors.Wait()
}

func (c *rolloutCluster) writeReleaseFile(release string) {
	if err := os.WriteFile(c.releaseFile, []byte(release), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// killOtherThan kills a member that has not drained and is not the leader, other than the member of the given event.
func (c *rolloutCluster) killOtherThan(excluded memberEvent) {
	victim := ""
	for _, name := range c.Names() {
		hasDrained := c.Last(func(e memberEvent) bool { return isDrain(e) && e.member == name }).Kind != ""
		if name != excluded.member && name != c.Last(isLeaseAcquired).member && !hasDrained {
			victim = name
		}
	}
	c.Kill(victim)
}

// suspendLeader suspends the leader for longer than its lease, and resumes it once another member leads.
func (c *rolloutCluster) suspendLeader() {
	suspended := c.Last(isLeaseAcquired).member
	c.Signal(suspended, syscall.SIGSTOP)
	c.WaitFor("a new leader", c.EventCount(), isLeaseAcquired)
	time.Sleep(500 * time.Millisecond) // so that it is resumed well after its lease has expired
	c.Signal(suspended, syscall.SIGCONT)
}

// Eight processes in two zones are updated to a new release. Meanwhile one is killed, and the leader is suspended during a wave
// and resumed. No member may drain twice, and each zone must keep at least three of its four members ready.
func TestRolloutThroughKillAndSuspendedLeader(t *testing.T) {
	c := startRolloutCluster(t, 12)
	defer c.stopSupervisors()
	time.Sleep(2 * time.Second) // until members have warmed up and voters are spread over the zones; no check depends on it
	c.installed.Store(newRelease)
	c.writeReleaseFile(newRelease)
	first := c.WaitFor("the first drain", 0, isDrain)
	c.killOtherThan(first)
	from := c.EventCount()
	c.WaitFor("a drain after the kill", from, isDrain)
	c.suspendLeader()
	for _, name := range c.Names() {
		c.WaitFor(name+" on the new release", 0, func(e memberEvent) bool {
			return e.Kind == eventReady && e.Release == newRelease && e.member == name
		})
	}
	checkDrains(t, c.Events())
}

// checkDrains checks that no member drained twice, and that from the first drain on each zone had at least three ready members.
// A member that was killed still counts as ready.
func checkDrains(t *testing.T, events []memberEvent) {
	slices.SortStableFunc(events, func(x, y memberEvent) int { return int(x.At - y.At) })
	drains := map[string]int{}                     // by member
	ready := map[int]map[string]bool{0: {}, 1: {}} // members by zone
	minReady := zoneSize
	hasStarted := false
	for _, e := range events {
		n, _ := strconv.Atoi(e.member[1:])
		zone := ready[n%zoneCount]
		switch e.Kind {
		case eventReady:
			zone[e.member] = true
		case eventDrains:
			hasStarted = true
			delete(zone, e.member)
			if drains[e.member]++; drains[e.member] > 1 || e.Release == newRelease {
				t.Errorf("%s drains with release %s, again or needlessly", e.member, e.Release)
			}
		}
		if hasStarted {
			minReady = min(minReady, len(ready[0]), len(ready[1]))
		}
	}
	t.Logf("%d members drained, at least %d of %d ready in each zone, if the killed member counts as ready", len(drains), minReady, zoneSize)
	if minReady < 3 {
		t.Errorf("drains left a zone with %d ready members, want at least 3", minReady)
	}
	if len(drains) < 7 { // all but the killed member, which was restarted with the new release
		t.Errorf("%d members drained, want 7 or 8", len(drains))
	}
}
