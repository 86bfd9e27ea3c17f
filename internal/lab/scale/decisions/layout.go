package decisions

import (
	"fmt"

	"thymechute/internal/decide/ring"
)

const (
	membersPerZone      = 30 // 1,200 members in 40 zones
	smallMembersPerZone = 12
	tenZones            = 10 // in total, the other interpretation of the plan
	rackMembers         = 30

	// There are backendsPerGroup backends per membersPerGroup members: 500 for 1,200.
	backendsPerGroup = 5
	membersPerGroup  = 12

	minSlots        = 64
	slotsPerBackend = 128 // minimum, unless ring.MaxSlots is reached
)

// firstIncarnation is the incarnation of a process that has not restarted. It encodes to a realistic length.
const firstIncarnation = 0x18f3a2b4c5000000

// Layout describes a fleet by its numbers of members, zones and regions. Members are numbered consecutively by zone, and zones by
// region.
type Layout struct{ Size, Zones, Regions int }

// zone and region return the index of the zone and of the region of member n.
func (l Layout) zone(n int) int   { return n * l.Zones / l.Size }
func (l Layout) region(n int) int { return l.zone(n) * l.Regions / l.Zones }

// zoneName returns the name of the zone of member n.
func (l Layout) zoneName(n int) string { return fmt.Sprintf("r%d-z%02d", l.region(n), l.zone(n)) }

// label returns the part of figure names that identifies the layout.
func (l Layout) label() string { return fmt.Sprintf("%dz", l.Zones) }

// processName returns a member's identity in the log, name and incarnation, after a number of restarts.
func processName(n, restarts int) string {
	return fmt.Sprintf("instance-%04d#%x", n, uint64(firstIncarnation)+uint64(restarts))
}

// backends returns the backends of the fleet, distributed over the same zones.
func (l Layout) backends() []ring.Backend {
	layout := Layout{Size: l.backendCount(), Zones: l.Zones, Regions: l.Regions}
	backends := make([]ring.Backend, layout.Size)
	for n := range backends {
		backends[n] = ring.Backend{Name: fmt.Sprintf("backend-%04d", n), Zone: layout.zoneName(n), Weight: 1}
	}
	return backends
}

func (l Layout) backendCount() int { return l.Size * backendsPerGroup / membersPerGroup }

// slots returns the number of slots of the ring: a power of two with at least slotsPerBackend per backend, up to ring.MaxSlots.
func (l Layout) slots() int {
	slots := minSlots
	for slots < slotsPerBackend*l.Size*backendsPerGroup/membersPerGroup && slots < ring.MaxSlots {
		slots *= 2
	}
	return slots
}
