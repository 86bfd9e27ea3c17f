package ring

import (
	"errors"
	"testing"
)

func TestErrorsNameFieldFoundAndExpected(t *testing.T) {
	_, slotsErr := New(3)
	empty, _ := New(8)
	_, _, _, weightErr := empty.Plan([]Backend{{Name: "a", Weight: -1}}, BalanceBound{}, nil)
	overlapping := callBudget
	overlapping.GrantInterval = 2 * callBudget.Window
	for want, err := range map[string]error{
		"number of slots: found 3, expected a power of two from 2 to 65536":                        slotsErr,
		"weight of backend a: found -1, expected greater than 0 and at most 1e+09":                 weightErr,
		"budget grant interval: found 2s, expected greater than 0 and at most the window":          overlapping.Validate(),
		"slow start initial fraction: found 0, expected greater than 0 and at most 1":              SlowStart{}.Validate(),
		"invalid ring snapshot: active table: found none, expected a table":                        new(ReplicatedState).Decode([]byte("{}")),
		"invalid ring snapshot: number of slots: found 0, expected a power of two from 2 to 65536": new(ReplicatedState).Decode([]byte(`{"Table":{}}`)),
	} {
		var invalid *ValueError
		if !errors.As(err, &invalid) || err.Error() != want {
			t.Errorf("found %v, expected a *ValueError: %s", err, want)
		}
	}
	if err := new(ReplicatedState).Decode([]byte("no JSON")); !errors.Is(err, ErrInvalidSnapshot) {
		t.Errorf("found %v, expected %v", err, ErrInvalidSnapshot)
	}
}
