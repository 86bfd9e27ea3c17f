package settings

import "testing"

func TestNegativeNumbersAreMissing(t *testing.T) {
	for x, want := range map[float64]float64{-1: 7, 0: 0, 2.5: 2.5} {
		if got := NumberOf(x).Or(7); got != want {
			t.Errorf("NumberOf(%v).Or(7) is %v, want %v", x, got, want)
		}
	}
	if got := NumberOf(1e300).Seconds(1); got <= 0 {
		t.Errorf("the largest duration overflowed to %v", got)
	}
}
