package members

import (
	"errors"
	"sync"
	"sync/atomic"
)

var errPartitioned = errors.New("members: destination is on the other side of the partition")

// network simulates a partition between one region and the others. Its table of the regions of addresses has one entry per
// member.
type network struct {
	mu       sync.RWMutex
	regions  map[string]int
	isolated atomic.Int64 // the region that is partitioned from all others, plus one; 0 for none
}

func newNetwork() *network { return &network{regions: map[string]int{}} }

// assign sets the region of an address.
func (n *network) assign(address string, region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// drops reports whether traffic from a region to an address crosses the partition.
func (n *network) drops(from int, address string) bool {
	isolated := int(n.isolated.Load()) - 1
	if isolated < 0 {
		return false
	}
	n.mu.RLock()
	to := n.regions[address]
	n.mu.RUnlock()
	return (from == isolated) != (to == isolated)
}

// isolate partitions a region from all others.
func (n *network) isolate(region int) { n.isolated.Store(int64(region) + 1) }

// heal ends the partition.
func (n *network) heal() { n.isolated.Store(0) }
