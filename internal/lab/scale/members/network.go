// This file owns the regions of the hollow members and the cut between one of them and the others. It must never let
// through what crosses a cut.

package members

import (
	"errors"
	"sync"
	"sync/atomic"
)

var errCut = errors.New("members: region cut off")

// network knows the region of each address. Its table holds one entry a member and lives as long as the fleet.
type network struct {
	mu      sync.RWMutex
	regions map[string]int
	cut     atomic.Int64 // the region that is cut from all others, plus one; 0: none
}

func newNetwork() *network { return &network{regions: map[string]int{}} }

func (n *network) place(address string, region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// cuts says whether what goes from a region to an address crosses the cut.
func (n *network) cuts(from int, address string) bool {
	cut := int(n.cut.Load()) - 1
	if cut < 0 {
		return false
	}
	n.mu.RLock()
	to := n.regions[address]
	n.mu.RUnlock()
	return (from == cut) != (to == cut)
}

func (n *network) cutOff(region int) { n.cut.Store(int64(region) + 1) }
func (n *network) heal()             { n.cut.Store(0) }
