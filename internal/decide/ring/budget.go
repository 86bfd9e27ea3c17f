// This file owns how many calls all members together may send a cold backend: lots, said by the owner in the log and
// split among the processes on the agreed roster. It must never let the lots that can be used within one window hold
// more than the backend's budget of that window.

package ring

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Budget is what a cold backend bears, as the operator's settings have it. The zero value says nothing of it.
type Budget struct {
	Calls  int           // that a backend with its whole part bears in a window, over 0; one with a part bears that part of it
	Window time.Duration // over 0
	Every  time.Duration // between two lots, over 0 and at most Window: the shorter, the more of the budget can be used
}

// Check tells what is wrong with it.
func (b Budget) Check() error {
	if b.Calls <= 0 || b.Window <= 0 || b.Every <= 0 || b.Every > b.Window {
		return fmt.Errorf("budget: found %d calls, window %v, every %v, expected each over 0 and every at most the window", b.Calls, b.Window, b.Every)
	}
	return nil
}

// Of is how many calls a window a backend with this part of its weight bears.
func (b Budget) Of(part float64) int { return int(float64(b.Calls) * part) }

// overlap is how many lots can be used within one window at most. A lot is used from its entry on until under a lease
// after it, and two entries lie Every apart by a clock within the drift.
func (b Budget) overlap(l Terms) uint64 {
	return uint64(float64(b.Window+l.Length)/float64(b.Every)*(1+l.Drift)) + 1
}

// lot is how many calls the lot of this number holds: so many that any overlap of them in a row hold Of(part).
func (b Budget) lot(number uint64, part float64, l Terms) int {
	calls, over := uint64(b.Of(part)), b.overlap(l)
	return int((number+1)*calls/over - number*calls/over)
}

// Lot is one parcel of calls for the cold backends, to be split among the roster that stands at its entry.
type Lot struct {
	Number uint64     `json:"number"` // one more than the last
	Calls  []LotCalls `json:"calls"`
	Gone   []string   `json:"gone,omitempty"` // processes that fell silent: off the roster before it is split
}

// LotCalls is one backend's part of a lot.
type LotCalls struct {
	Backend string `json:"backend"`
	Calls   int    `json:"calls"`
}

// Shares are a process's calls by backend: the same for all that apply the lot, and over the whole roster exactly the
// lot. Which processes get one more than the others is drawn by number and backend. nil: not on the roster.
func (l Lot) Shares(roster []string, process string) map[string]int {
	rank, on := slices.BinarySearch(roster, process)
	if !on {
		return nil
	}
	shares := make(map[string]int, len(l.Calls))
	for _, c := range l.Calls {
		first := int(xxhash.Sum64String(fmt.Sprint(c.Backend, "#", l.Number)) % uint64(len(roster)))
		shares[c.Backend] = c.Calls / len(roster)
		if (rank+first)%len(roster) < c.Calls%len(roster) {
			shares[c.Backend]++
		}
	}
	return shares
}
