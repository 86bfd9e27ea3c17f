package ring

import (
	"slices"
	"testing"
)

func TestParticipantsExistOnlyDuringWarmUpAndSurviveSnapshots(t *testing.T) {
	want := append(testBackends(2), Backend{Name: "new", Weight: 1, WarmingUp: true})
	a := ReplicatedState{Active: tableOf(t, testBackends(2))}
	if a.RecordAcknowledgement("a"); a.Participants != nil {
		t.Error("found participants though no backend is warming up")
	}
	a.Active = tableOf(t, want)
	a.RecordAcknowledgement("a")
	a.RecordAcknowledgement("b")
	a.RemoveParticipant("unknown")
	a.ApplyGrant(Grant{Sequence: 1})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var decoded ReplicatedState
	if err := decoded.Decode(b); err != nil || !slices.Equal(decoded.Participants, a.Participants) || decoded.LastGrantSequence != 1 {
		t.Fatalf("error %v, decoded state %+v", err, decoded)
	}
	withoutWarmUp := tableOf(t, append(want[:2:2], Backend{Name: "new", Weight: 1}))
	if digest := decoded.Active.Digest(); !decoded.Active.HasWarmingUp() || digest != a.Active.Digest() || digest == withoutWarmUp.Digest() {
		t.Errorf("decoded table %+v", decoded.Active)
	}
	if decoded.Decode([]byte(`{"Table":{"Slots":"AAAAAA=="},"Roster":["b","a"]}`)) == nil {
		t.Error("a snapshot with unsorted participants was accepted")
	}
	warmedUp, migrations, _ := mustPlan(t, a.Active, append(want[:2:2], Backend{Name: "new", Weight: 1}), BalanceBound{})
	if a.Freeze(warmedUp, nil); len(migrations) != 0 || !a.Activate(warmedUp.Version) || a.Participants != nil {
		t.Errorf("%d migrations at the end of the warm-up, want none; participants %v, want none", len(migrations), a.Participants)
	}
}
