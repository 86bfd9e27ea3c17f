package membership

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// updateCounter counts the updates of records.
type updateCounter struct{ updates atomic.Int64 }

func (*updateCounter) Joined(Record)          {}
func (c *updateCounter) Updated(Record)       { c.updates.Add(1) }
func (*updateCounter) Left(string)            {}
func (*updateCounter) Rejected(string, error) {}

// startAlone starts the first member of a fleet, named a, until the end of the test.
func startAlone(t *testing.T) (*Member, *updateCounter) {
	t.Helper()
	watcher := &updateCounter{}
	m, err := Start(Config{Name: "a", Bind: freeAddress(t, 20), MaxMembers: 4, Record: Record{Zone: "z1", Rank: -1}}, watcher)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Shutdown() })
	return m, watcher
}

func TestLoadUpdatesAreRateLimitedAndTheLastIsNotLost(t *testing.T) {
	m, watcher := startAlone(t)
	const changes = 1000
	for n := 1; n <= changes; n++ {
		if err := m.SetRecord(Record{Zone: "z1", Rank: -1, LagMS: n}); err != nil {
			t.Fatal(err)
		}
	}
	if announced := watcher.updates.Load(); announced > 1 {
		t.Errorf("%d load updates in a row were announced %d times, want once, and the last one later", changes, announced)
	}
	deadline := time.Now().Add(10 * minLoadUpdateInterval)
	for m.View()["a"].LagMS != changes {
		if time.Now().After(deadline) {
			t.Fatalf("the last load update was not announced: lag %d", m.View()["a"].LagMS)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if announced := watcher.updates.Load(); announced > 2 {
		t.Errorf("load updates were announced %d times, want twice", announced)
	}
}

func TestOtherUpdatesAreAnnouncedAtOnceWithDeferredLoad(t *testing.T) {
	m, watcher := startAlone(t)
	for n := range 3 {
		record := Record{Zone: "z1", Rank: n, LagMS: 1}
		if err := m.SetRecord(record); err != nil {
			t.Fatal(err)
		}
		record.LagMS = 2 + n // deferred
		if err := m.SetRecord(record); err != nil {
			t.Fatal(err)
		}
		if got := m.View()["a"]; got.Rank != n || got.LagMS != 1 {
			t.Fatalf("view %+v, want rank %d announced and the lag deferred", got, n)
		}
	}
	if err := m.SetRecord(Record{Zone: "z1", Rank: 2, LagMS: 4, Flag: "overloaded"}); err != nil {
		t.Fatal(err)
	}
	if got := m.View()["a"]; got.LagMS != 4 || got.Flag != "overloaded" {
		t.Errorf("view %+v, want the flag and the deferred load", got)
	}
	if announced := watcher.updates.Load(); announced != 4 {
		t.Errorf("updates were announced %d times, want 4", announced)
	}
}

// While others leave, a member claims one new rank after another and must not wait for gossip in between: memberlist needs four
// rounds of 200 ms before it counts an update as sent.
func TestSetRecordDoesNotWaitForGossip(t *testing.T) {
	m, _ := startAlone(t)
	other, err := Start(Config{Name: "b", Bind: freeAddress(t, 21), Seeds: []string{m.list.LocalNode().Address()}, MaxMembers: 4,
		Record: Record{Zone: "z1", Rank: -1}}, &updateCounter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Shutdown() })
	testutil.Eventually(t, "both see each other", func() bool { return len(m.View()) == 2 && len(other.View()) == 2 })
	const changes = 10
	start := time.Now()
	for n := range changes {
		if err := m.SetRecord(Record{Zone: "z1", Rank: n}); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > changes*200*time.Millisecond {
		t.Errorf("%d updates took %v, at least a round of gossip each", changes, took)
	}
	testutil.Eventually(t, "the last update arrives", func() bool { return other.View()["a"].Rank == changes-1 })
}

func TestInvalidRecordChangesNothing(t *testing.T) {
	m, watcher := startAlone(t)
	if err := m.SetRecord(Record{Zone: fmt.Sprintf("%0100d", 1)}); err == nil {
		t.Fatal("a zone of more than 64 bytes was accepted")
	}
	if got := m.View()["a"]; got.Zone != "z1" || watcher.updates.Load() != 0 {
		t.Errorf("view %+v after %d updates, want it unchanged", got, watcher.updates.Load())
	}
}
