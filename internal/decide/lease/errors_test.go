package lease_test

import (
	"errors"
	"testing"

	"thymechute/internal/decide/lease"
)

func TestRejectionsHaveReasons(t *testing.T) {
	table, err := lease.NewTable("ring")
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(5, lease.Command{Kind: lease.Acquire, Duty: "ring", Member: "a", Incarnation: 1})
	for _, c := range []struct {
		index   uint64
		command lease.Command
		reason  error
	}{
		{6, lease.Command{Kind: lease.Acquire, Duty: "roll"}, lease.ErrUnknownDuty},
		{5, lease.Command{Kind: lease.Renew, Duty: "ring", Member: "a", Incarnation: 1, Token: 1}, lease.ErrOldIndex},
		{6, lease.Command{Kind: lease.Acquire, Duty: "ring", Member: "b", ObservedIndex: 4}, lease.ErrStaleClaim},
		{7, lease.Command{Kind: lease.Decide, Duty: "ring", Member: "a", Incarnation: 2, Token: 1}, lease.ErrNotLeaseHolder},
		{8, lease.Command{Kind: lease.Kind(9), Duty: "ring", Member: "a", Incarnation: 1, Token: 1}, lease.ErrUnknownKind},
	} {
		outcome := table.Apply(c.index, c.command)
		var rejected *lease.RejectedError
		if outcome.Accepted || !errors.Is(outcome.Err, c.reason) || !errors.As(outcome.Err, &rejected) {
			t.Errorf("%+v: %+v, want %v", c.command, outcome, c.reason)
		}
	}
	if _, err := lease.NewTable("ring", "ring"); !errors.Is(err, lease.ErrInvalidDuties) {
		t.Errorf("duplicate duty: %v, want ErrInvalidDuties", err)
	}
	if _, err := lease.Decode([]byte("{")); !errors.Is(err, lease.ErrInvalidSnapshot) {
		t.Errorf("truncated snapshot: %v, want ErrInvalidSnapshot", err)
	}
}
