package ring

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallBudget limits the calls that all members together may send to a backend while it warms up. The zero value means
// that there is no budget. The leader proposes grants, and each member computes its quota of a grant from the state at
// the grant's place in the log, without further messages. Grants that can be used within the same window never sum to
// more than the budget of a window.
type CallBudget struct {
	CallsPerWindow int           // at full weight; greater than 0
	Window         time.Duration // greater than 0
	GrantInterval  time.Duration // between grants; greater than 0, at most Window; the shorter, the more of the budget is usable
}

// Validate returns a *ValueError if a field is out of range.
func (b CallBudget) Validate() error {
	return firstInvalid([]rangeCheck{
		{b.CallsPerWindow > 0, "budget calls per window", b.CallsPerWindow, "greater than 0"},
		{b.Window > 0, "budget window", b.Window, "greater than 0"},
		{b.GrantInterval > 0 && b.GrantInterval <= b.Window, "budget grant interval", b.GrantInterval, "greater than 0 and at most the window"},
	})
}

// CallsAt returns the calls per window that a backend may receive at this fraction of its full weight.
func (b CallBudget) CallsAt(fraction float64) int { return int(float64(b.CallsPerWindow) * fraction) }

// maxOverlap returns an upper bound on the grants that can be used within one window. A grant is usable for less than a
// lease duration after it enters the log, and grants enter the log at least GrantInterval apart by the leader's clock,
// which may drift by MaxDrift.
func (b CallBudget) maxOverlap(terms LeaseTerms) uint64 {
	return uint64(float64(b.Window+terms.Duration)/float64(b.GrantInterval)*(1+terms.MaxDrift)) + 1
}

// grantSize returns the calls that a grant allots to one backend. Any maxOverlap consecutive grants sum to
// CallsAt(fraction).
func (b CallBudget) grantSize(sequence uint64, fraction float64, terms LeaseTerms) int {
	calls, overlap := uint64(b.CallsAt(fraction)), b.maxOverlap(terms)
	return int((sequence+1)*calls/overlap - sequence*calls/overlap)
}

// Grant is a log entry that allots calls to backends that are warming up. It is split among the processes that are
// participants when it is applied.
type Grant struct {
	Sequence uint64         `json:"number"` // one more than the previous grant's
	Quotas   []BackendQuota `json:"calls"`
	Departed []string       `json:"gone,omitempty"` // participants that no longer acknowledge, removed before the split
}

// BackendQuota is the number of calls to one backend that a grant allots to all participants together.
type BackendQuota struct {
	Backend string `json:"backend"`
	Calls   int    `json:"calls"`
}

// QuotasFor returns a process's quotas: calls by backend, or nil if the process is not a participant. participants must be
// sorted. The quotas of all participants sum to the grant. A hash of backend and sequence selects the participants that
// get one call more if the division leaves a remainder, the same in all members.
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
