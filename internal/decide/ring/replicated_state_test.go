package ring

import (
	"slices"
	"testing"
)

func TestParticipantsExistOnlyDuringWarmUpAndSurviveSnapshots(t *testing.T) {
	want := append(testBackends(2), Backend{Name: "new", Weight: 1, WarmingUp: true})
	a := ReplicatedState{Active: tableOf(t, testBackends(2))}
	if a.RecordAcknowledgement("a"); a.Participants != nil {
		t.Error("participants without a backend that is warming up")
	}
	a.Active = tableOf(t, want)
	a.RecordAcknowledgement("a")
	a.RecordAcknowledgement("b")
	a.RemoveParticipant("who")
	a.ApplyGrant(Grant{Sequence: 1})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back ReplicatedState
	if err := back.Decode(b); err != nil || !slices.Equal(back.Participants, a.Participants) || back.LastGrant != 1 || !back.Active.HasWarmingUp() ||
		back.Active.Digest() != a.Active.Digest() || back.Active.Digest() == tableOf(t, append(want[:2:2], Backend{Name: "new", Weight: 1})).Digest() {
		t.Errorf("%v: %+v", err, back)
	}
	if back.Decode([]byte(`{"Table":{"Slots":"AAAAAA=="},"Roster":["b","a"]}`)) == nil {
		t.Error("participants out of order were accepted")
	}
	warm, migrations, _ := mustPlan(t, a.Active, append(want[:2:2], Backend{Name: "new", Weight: 1}), BalanceBound{})
	if a.Freeze(warm, nil); len(migrations) != 0 || !a.Activate(warm.Version) || a.Participants != nil {
		t.Errorf("%d migrations, participants after the warm-up: %v", len(migrations), a.Participants)
	}
}
