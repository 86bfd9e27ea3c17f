package quorum

import (
	"cmp"
	"slices"
)

// distribution counts the healthy voters by region and by zone.
type distribution struct{ regions, zones map[string]int }

func (s *selection) newDistribution() distribution {
	d := distribution{map[string]int{}, map[string]int{}}
	for _, voter := range s.healthy {
		d.regions[s.members[voter].Region]++
		d.zones[s.members[voter].Zone]++
	}
	return d
}

// compare orders members by the voters of their regions, then by those of their zones.
func (d distribution) compare(a, b Member) int {
	return cmp.Or(cmp.Compare(d.regions[a.Region], d.regions[b.Region]), cmp.Compare(d.zones[a.Zone], d.zones[b.Zone]))
}

// maxPerRegion returns the most voters that a region has.
func (d distribution) maxPerRegion() (most int) {
	for _, n := range d.regions {
		most = max(most, n)
	}
	return most
}

// improvesDistribution reports whether this member as a voter, in place of the one that is then removed, would spread the
// voters more evenly over the regions, or over more zones and no less evenly over the regions. A swap that it approves is
// never undone by another.
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

// hasSharedZone reports whether two healthy voters of this region are in one zone.
func (s *selection) hasSharedZone(region string) bool {
	return slices.ContainsFunc(s.healthy, func(voter string) bool {
		m := s.members[voter]
		return m.Region == region && s.distribution.zones[m.Zone] > 1
	})
}
