package subset

import "slices"

// LoadImbalance returns the number of connections of the most loaded backend divided by the mean of all backends: 1 if the
// load is even, 0 if there are no connections. Backends that no member uses count in the mean.
func LoadImbalance(subsets map[string][]string, backends []string) float64 {
	load := make(map[string]int, len(backends))
	total := 0
	for _, chosen := range subsets {
		for _, backend := range chosen {
			load[backend]++
			total++
		}
	}
	if total == 0 || len(backends) == 0 {
		return 0
	}
	highest := 0
	for _, connections := range load {
		highest = max(highest, connections)
	}
	return float64(highest) * float64(len(backends)) / float64(total)
}

// OpenedConnections returns the number of connections that members open when their subsets change from before to after:
// the pairs of member and backend that are in after but not in before.
func OpenedConnections(before, after map[string][]string) int {
	opened := 0
	for member, chosen := range after {
		previous := before[member]
		for _, backend := range chosen {
			if !slices.Contains(previous, backend) {
				opened++
			}
		}
	}
	return opened
}

// ViewChange describes a change of the membership view or of the list of backends.
type ViewChange struct {
	SubsetSize      int // backends per member
	Members         int // after the change
	Backends        int // after the change
	MembersJoined   int
	MembersLeft     int
	BackendsAdded   int
	BackendsRemoved int
}

// MinOpenedConnections returns the fewest connections that members must open to keep the load even after the change, at
// least 1. It is the sum of
//   - the subset size for each joining member;
//   - the subset size for each leaving member, as otherwise its backends have fewer connections than the others;
//   - the previous connections of each removed backend;
//   - an even share of the connections for each added backend.
func (c ViewChange) MinOpenedConnections() int {
	opened := (c.MembersJoined + c.MembersLeft) * c.SubsetSize
	if c.BackendsRemoved > 0 {
		opened += c.BackendsRemoved * c.Members * c.SubsetSize / (c.Backends + c.BackendsRemoved)
	}
	if c.BackendsAdded > 0 && c.Backends > 0 {
		opened += c.BackendsAdded * c.Members * c.SubsetSize / c.Backends
	}
	return max(opened, 1)
}
