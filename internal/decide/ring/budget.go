package ring

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallBudget bounds the calls that all members together may send to a backend while it warms up. The zero value means
// no budget. The leader spends it in grants, which the log's order splits among the participants without any further
// message; grants whose use can overlap one window never sum to more than the budget of that window.
type CallBudget struct {
	CallsPerWindow int           // at full weight; over 0
	Window         time.Duration // over 0
	GrantInterval  time.Duration // between grants; over 0, at most Window; the shorter, the more of the budget is usable
}

// Validate returns a *ValueError for a field out of range.
func (b CallBudget) Validate() error {
	return firstInvalid([]rangeCheck{
		{b.CallsPerWindow > 0, "budget calls per window", b.CallsPerWindow, "over 0"},
		{b.Window > 0, "budget window", b.Window, "over 0"},
		{b.GrantInterval > 0 && b.GrantInterval <= b.Window, "budget grant interval", b.GrantInterval, "over 0 and at most the window"},
	})
}

// CallsAt returns the calls in a window that a backend at this fraction of its weight can take.
func (b CallBudget) CallsAt(fraction float64) int { return int(float64(b.CallsPerWindow) * fraction) }

// maxOverlap is how many grants can be used within one window. A grant is usable from its entry until less than a lease
// later, and entries are at least GrantInterval apart by a clock within the drift.
func (b CallBudget) maxOverlap(terms LeaseTerms) uint64 {
	return uint64(float64(b.Window+terms.Duration)/float64(b.GrantInterval)*(1+terms.MaxDrift)) + 1
}

// grantSize is the number of calls in a grant, such that any maxOverlap consecutive ones sum to CallsAt(fraction).
func (b CallBudget) grantSize(sequence uint64, fraction float64, terms LeaseTerms) int {
	calls, overlap := uint64(b.CallsAt(fraction)), b.maxOverlap(terms)
	return int((sequence+1)*calls/overlap - sequence*calls/overlap)
}

// Grant is a log entry that allots calls to backends that are warming up. It is split among the participants at its
// place in the log.
type Grant struct {
	Sequence uint64         `json:"number"` // one more than the previous grant's
	Quotas   []BackendQuota `json:"calls"`
	Departed []string       `json:"gone,omitempty"` // processes that no longer acknowledge, removed before the split
}

// BackendQuota is the calls that a grant allots to one backend.
type BackendQuota struct {
	Backend string `json:"backend"`
	Calls   int    `json:"calls"`
}

// QuotasFor returns a process's calls by backend, or nil for one that is not among the sorted participants. The quotas
// of all participants sum to the grant. Who gets the remainder of the division is drawn by sequence and backend, the same in
// all members.
func (g Grant) QuotasFor(participants []string, process string) map[string]int {
	rank, found := slices.BinarySearch(participants, process)
	if !found {
		return nil
	}
	count := len(participants)
	quotas := make(map[string]int, len(g.Quotas))
	for _, quota := range g.Quotas {
		offset := int(xxhash.Sum64String(fmt.Sprint(quota.Backend, "#", g.Sequence)) % uint64(count))
		quotas[quota.Backend] = quota.Calls / count
		if (rank+offset)%count < quota.Calls%count {
			quotas[quota.Backend]++
		}
	}
	return quotas
}
