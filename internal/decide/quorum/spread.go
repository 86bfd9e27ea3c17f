// This file owns how the voters lie over regions and zones. It must never want a swap that another swap would undo.

package quorum

import "slices"

// spread counts the good voters by region and by zone.
type spread struct{ regions, zones map[string]int }

func (c *choice) spread() spread {
	s := spread{map[string]int{}, map[string]int{}}
	for _, v := range c.good {
		s.regions[c.members[v].Region]++
		s.zones[c.members[v].Zone]++
	}
	return s
}

// fullest is the most voters that a region has.
func (s spread) fullest() (most int) {
	for _, n := range s.regions {
		most = max(most, n)
	}
	return most
}

// wider tells whether this one as a voter, in the place of whom drop would then take, would put the voters over the regions
// more evenly, or over more zones than they are and over the regions no less evenly.
func (c *choice) wider(m Member) bool {
	s := c.lie
	here, most := s.regions[m.Region], s.fullest()
	if here+2 <= most {
		return true
	}
	if s.zones[m.Zone] > 0 || len(s.zones) >= c.want || len(c.good) <= len(s.zones) {
		return false
	}
	return here+1 <= most || c.doubled(s, m.Region)
}

// doubled tells whether two good voters of this region share a zone.
func (c *choice) doubled(s spread, region string) bool {
	return slices.ContainsFunc(c.good, func(v string) bool {
		return c.members[v].Region == region && s.zones[c.members[v].Zone] > 1
	})
}

// needed tells whether this one is wanted as one more voter at all.
func (c *choice) needed(m Member) bool {
	return len(c.good) < c.want || len(c.voters) <= c.want && c.wider(m)
}
