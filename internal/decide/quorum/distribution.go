package quorum

import (
	"cmp"
	"slices"
)

// distribution counts the healthy voters per region and per zone.
type distribution struct{ regions, zones map[string]int }

func (s *selection) newDistribution() distribution {
	d := distribution{map[string]int{}, map[string]int{}}
	for _, voter := range s.healthy {
		d.regions[s.members[voter].Region]++
		d.zones[s.members[voter].Zone]++
	}
	return d
}

// compare orders members by the number of voters in their regions, then by that in their zones.
func (d distribution) compare(a, b Member) int {
	return cmp.Or(cmp.Compare(d.regions[a.Region], d.regions[b.Region]), cmp.Compare(d.zones[a.Zone], d.zones[b.Zone]))
}

// maxPerRegion returns the number of voters in the region with the most.
func (d distribution) maxPerRegion() (most int) {
	for _, n := range d.regions {
		most = max(most, n)
	}
	return most
}

// improvesDistribution reports whether replacing a voter by this member would spread the voters more evenly over the
// regions, or over more zones and no less evenly over the regions. No later replacement undoes one that it approves, so
// the changes come to an end.
func (s *selection) improvesDistribution(m Member) bool {
	d := s.distribution
	inRegion, most := d.regions[m.Region], d.maxPerRegion()
	if inRegion+2 <= most {
		return true
	}
	if d.zones[m.Zone] > 0 || len(d.zones) >= s.targetVoters || len(s.healthy) <= len(d.zones) {
		return false
	}
	return inRegion+1 <= most || s.hasSharedZone(m.Region)
}

// hasSharedZone reports whether a healthy voter of this region shares its zone with another one.
func (s *selection) hasSharedZone(region string) bool {
	return slices.ContainsFunc(s.healthy, func(voter string) bool {
		m := s.members[voter]
		return m.Region == region && s.distribution.zones[m.Zone] > 1
	})
}
