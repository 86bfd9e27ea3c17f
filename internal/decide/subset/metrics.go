package subset

import "slices"

// LoadImbalance returns the connections of the most loaded backend over the mean of all backends: 1 is even, 0 means
// no connections. Backends that no member uses count in the mean.
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

// OpenedConnections counts the pairs of member and backend that are in after but not in before: the connections that a
// change of the view makes members open.
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

// ViewChange describes a change of the view by its counts.
type ViewChange struct {
	SubsetSize      int // backends per member
	Members         int // after the change
	Backends        int // after the change
	MembersJoined   int
	MembersLeft     int
	BackendsAdded   int
	BackendsRemoved int
}

// MinOpenedConnections returns the fewest connections that the change must open if the load is to stay even: the
// subset of each joining member; the subset of each leaving member, which others must take over or its backends fall
// behind; the connections of each removed backend; the even part of each added backend. It is never below 1.
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
