package membership

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// heard counts the changes of records that a member hears of.
type heard struct{ updates atomic.Int64 }

func (*heard) Joined(Record)         {}
func (h *heard) Updated(Record)      { h.updates.Add(1) }
func (*heard) Left(string)           {}
func (*heard) Refused(string, error) {}

func startAlone(t *testing.T) (*Member, *heard) {
	t.Helper()
	watch := &heard{}
	m, err := Start(Config{Name: "a", Bind: freeAddress(t, 20), Most: 4, Record: Record{Zone: "z1", Rank: -1}}, watch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop() })
	return m, watch
}

func TestLoadIsToldOnceInAWhileAndItsLastIsNotLost(t *testing.T) {
	m, watch := startAlone(t)
	const changes = 1000
	for n := 1; n <= changes; n++ {
		if err := m.Set(Record{Zone: "z1", Rank: -1, LagMS: n}); err != nil {
			t.Fatal(err)
		}
	}
	if told := watch.updates.Load(); told > 1 {
		t.Errorf("%d changes at once: told %d times, want once and later the last", changes, told)
	}
	deadline := time.Now().Add(10 * leastLoadChange)
	for m.View()["a"].LagMS != changes {
		if time.Now().After(deadline) {
			t.Fatalf("the last change was lost: lag %d", m.View()["a"].LagMS)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if told := watch.updates.Load(); told > 2 {
		t.Errorf("told %d times, want twice", told)
	}
}

func TestWhatTheViewBringsAboutIsToldAtOnceWithWhatWaited(t *testing.T) {
	m, watch := startAlone(t)
	for n := range 3 {
		record := Record{Zone: "z1", Rank: n, LagMS: 1}
		if err := m.Set(record); err != nil {
			t.Fatal(err)
		}
		record.LagMS = 2 + n // waits
		if err := m.Set(record); err != nil {
			t.Fatal(err)
		}
		if got := m.View()["a"]; got.Rank != n || got.LagMS != 1 {
			t.Fatalf("view %+v, want rank %d told and the lag waiting", got, n)
		}
	}
	if err := m.Set(Record{Zone: "z1", Rank: 2, LagMS: 4, Flag: "overloaded"}); err != nil {
		t.Fatal(err)
	}
	if got := m.View()["a"]; got.LagMS != 4 || got.Flag != "overloaded" {
		t.Errorf("view %+v, want all that waited", got)
	}
	if told := watch.updates.Load(); told != 4 {
		t.Errorf("told %d times, want 4", told)
	}
}

// A member that settles its rank anew as others leave, one after the other, must not wait for gossip between: four rounds of
// 200 ms pass until a change counts as passed on, for each of them.
func TestAChangeDoesNotWaitForGossip(t *testing.T) {
	m, _ := startAlone(t)
	other, err := Start(Config{Name: "b", Bind: freeAddress(t, 21), Seeds: []string{m.list.LocalNode().Address()}, Most: 4,
		Record: Record{Zone: "z1", Rank: -1}}, &heard{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Stop() })
	testutil.Eventually(t, "both see each other", func() bool { return len(m.View()) == 2 && len(other.View()) == 2 })
	const changes = 10
	began := time.Now()
	for n := range changes {
		if err := m.Set(Record{Zone: "z1", Rank: n}); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > changes*200*time.Millisecond {
		t.Errorf("%d changes took %v, a round of gossip each at least", changes, took)
	}
	testutil.Eventually(t, "the last is heard", func() bool { return other.View()["a"].Rank == changes-1 })
}

func TestAFaultyRecordChangesNothing(t *testing.T) {
	m, watch := startAlone(t)
	if err := m.Set(Record{Zone: fmt.Sprintf("%0100d", 1)}); err == nil {
		t.Fatal("a zone past 64 bytes was taken")
	}
	if got := m.View()["a"]; got.Zone != "z1" || watch.updates.Load() != 0 {
		t.Errorf("view %+v after %d changes, want none", got, watch.updates.Load())
	}
}
