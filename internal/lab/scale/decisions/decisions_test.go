package decisions

import (
	"context"
	"strings"
	"testing"

	"thymechute/internal/lab/scale"
)

// deterministicFigures returns the figures that the seed determines: all except times and heap sizes.
func deterministicFigures(r *scale.Result) map[string]float64 {
	out := map[string]float64{}
	add := func(name string, value float64) {
		if !strings.Contains(name, "_ms_") && !strings.Contains(name, "_heap_") {
			out[name] = value
		}
	}
	for name, value := range r.Figures {
		add(name, value)
	}
	for _, s := range r.Series {
		add(s.Name, s.Points[len(s.Points)-1].Value)
	}
	return out
}

// Every claim holds through every loss of a small run, and two runs with one seed have equal figures.
func TestSmallRunIsDeterministicAndHoldsClaims(t *testing.T) {
	var first map[string]float64
	for range 2 {
		r, err := Part{Small: true}.Run(context.Background(), scale.Options{Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Faults) > 0 {
			t.Fatalf("claims that do not hold: %v", r.Faults)
		}
		figures := deterministicFigures(r)
		if first == nil {
			first = figures
			continue
		}
		for name, value := range figures {
			if first[name] != value {
				t.Errorf("%s: %g in the first run, but %g in the second with the same seed", name, first[name], value)
			}
		}
	}
	if part := first["voters_11z_region_with_quorum_part"]; part != 0 || first["voters_11z_zones_alone_region_with_quorum_part"] == 0 {
		t.Errorf("one region has a quorum in a fraction %g of the join orders, expected 0; with zones only in %g, expected more than 0",
			part, first["voters_11z_zones_alone_region_with_quorum_part"])
	}
	if first["owner_entries_day"] == 0 || first["ring_freeze_entry_bytes"] == 0 || first["roll_11z_region_drains"] == 0 {
		t.Errorf("found %v, expected values of owner_entries_day, ring_freeze_entry_bytes and roll_11z_region_drains", first)
	}
}

func TestLossesAreNested(t *testing.T) {
	for _, zones := range []int{40, tenZones} {
		l := Layout{Size: scale.TargetMembers, Zones: zones, Regions: scale.TargetRegions}
		for n := range l.Size {
			rack, zone, region := l.lossAround(lossOfRack, n), l.lossAround(lossOfZone, n), l.lossAround(lossOfRegion, n)
			for _, loss := range []Loss{l.lossAround(lossOfMachine, n), rack, zone, region} {
				if !loss.contains(n) {
					t.Fatalf("%d zones: loss %+v does not contain member %d", zones, loss, n)
				}
			}
			if rack.From < zone.From || rack.To > zone.To || zone.From < region.From || zone.To > region.To {
				t.Fatalf("%d zones, member %d: losses of the rack %+v, zone %+v and region %+v are not nested", zones, n, rack, zone, region)
			}
			if size := zone.To - zone.From; size != l.Size/zones {
				t.Fatalf("%d zones: found a zone of %d members, expected %d", zones, size, l.Size/zones)
			}
		}
	}
}

// The entry by which a process joins the log lists all servers, so it grows with the fleet.
func TestMembershipEntryGrowsWithFleet(t *testing.T) {
	if few, many := membershipEntryBytes(6), membershipEntryBytes(1200); many < 150*few {
		t.Errorf("found %d bytes at 6 members and %d at 1,200, expected at least a factor of 150", few, many)
	}
}
