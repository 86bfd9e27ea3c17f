package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/ring"
)

const (
	ringRandomStream  = 0x41a6
	ringZones         = 3
	maxSingleSteps    = 40 // backends up to which the script joins and removes them one by one
	bytesPerSlot      = 2
	bytesPerBackend   = 56 // a record without its strings
	slotAlgorithmName = "slots"
)

// RingScenario is a script of backends that join and leave, on keys drawn by the seed.
type RingScenario struct {
	Backends int // at the start
	Slots    int
	Keys     int
	Seed     uint64
}

// RingFigures are the results of one algorithm, worst over the script's steps.
type RingFigures struct {
	Algorithm        string
	MovedOverMinimum float64 // keys that changed their backend over those that had to
	MaxOverFairShare float64 // keys of the busiest backend over the mean
}

// RingResult compares the ring's plans with published algorithms.
type RingResult struct {
	Algorithms            []RingFigures
	MigrationsOverMinimum float64       // of the ring's plans: migrations over the fewest of any plan, worst
	MaxSlotsOverFairShare float64       // slots of the busiest backend over its fair share
	SlowestPlan           time.Duration // real time
	TableBytes            int           // of the table's slots and backends
}

// CompareRing runs the script: half as many backends join one by one (a quarter at a time past 40), then the fleet shrinks by
// a third, and at the end one backend fails and returns. It returns the error of the first plan that fails.
func CompareRing(scenario RingScenario) (RingResult, error) {
	random := rand.New(rand.NewPCG(scenario.Seed, ringRandomStream))
	keys := make([]uint64, scenario.Keys)
	for k := range keys {
		keys[k] = random.Uint64()
	}
	steps := membershipScript(scenario.Backends)
	var baselines []RingFigures
	for _, a := range baselineAlgorithms {
		baselines = append(baselines, measureAlgorithm(a.name, a.assign, keys, steps))
	}
	slots, err := newSlotAssigner(scenario.Slots)
	if err != nil {
		return RingResult{}, err
	}
	slotFigures := measureAlgorithm(slotAlgorithmName, slots.assign, keys, steps) // after the baselines: plans are timed warm
	result := slots.result
	result.Algorithms = append([]RingFigures{slotFigures}, baselines...)
	result.TableBytes = bytesPerSlot*scenario.Slots + len(steps[len(steps)-1])*bytesPerBackend
	return result, slots.err
}

// membershipScript returns the names of the present backends, step by step.
func membershipScript(backends int) (steps [][]string) {
	step := 1
	if backends > maxSingleSteps {
		step = backends / 4
	}
	for n := backends; n <= backends+backends/2; n += step {
		steps = append(steps, backendNames(0, n))
	}
	last := len(steps[len(steps)-1])
	for n := step; n <= last/3; n += step { // the first ones leave: the worst case for algorithms that only know numbers
		steps = append(steps, backendNames(n, last))
	}
	end := steps[len(steps)-1]
	middle := len(end) / 2
	withoutMiddle := append(append([]string{}, end[:middle]...), end[middle+1:]...)
	return append(steps, withoutMiddle, end)
}

func backendNames(from, to int) (names []string) {
	for n := from; n < to; n++ {
		names = append(names, fmt.Sprintf("b%05d", n))
	}
	return names
}

// slotAssigner assigns keys by the ring's plans, each from the table of the one before.
type slotAssigner struct {
	table  *ring.Table
	result RingResult
	err    error // of the first plan that failed
}

func newSlotAssigner(slots int) (*slotAssigner, error) {
	table, err := ring.New(slots)
	if err != nil {
		return nil, err
	}
	return &slotAssigner{table: table, result: RingResult{MigrationsOverMinimum: 1}}, nil
}

// assign implements assigner.
func (s *slotAssigner) assign(keys []uint64, names []string) []int {
	backends := make([]ring.Backend, len(names))
	index := map[string]int{}
	for n, name := range names {
		backends[n] = ring.Backend{Name: name, Zone: fmt.Sprint(n % ringZones), Weight: 1}
		index[name] = n
	}
	assigned := make([]int, len(keys))
	if err := s.plan(backends); err != nil {
		s.err = err
		return assigned
	}
	ownerOf := make([]int, s.table.Slots())
	for slot := range ownerOf {
		owner, _ := s.table.Owner(slot)
		ownerOf[slot] = index[owner.Name]
	}
	for k, key := range keys {
		assigned[k] = ownerOf[key&uint64(len(ownerOf)-1)]
	}
	return assigned
}

// plan makes and measures the next table. Nothing depends on the measured time.
func (s *slotAssigner) plan(backends []ring.Backend) error {
	start := time.Now()
	next, migrations, minimum, err := s.table.Plan(backends, ring.BalanceBound{}, nil)
	s.result.SlowestPlan = max(s.result.SlowestPlan, time.Since(start))
	if err != nil {
		return err
	}
	if minimum > 0 {
		s.result.MigrationsOverMinimum = max(s.result.MigrationsOverMinimum, float64(len(migrations))/float64(minimum))
	}
	owned, _ := next.SlotCounts()
	for _, count := range owned {
		s.result.MaxSlotsOverFairShare = max(s.result.MaxSlotsOverFairShare, float64(count)*float64(len(backends))/float64(next.Slots()))
	}
	s.table = next
	return nil
}

// measureAlgorithm counts, step by step, the keys that changed their backend against those that had to: the keys of removed
// backends, and the fair share of added ones.
func measureAlgorithm(name string, assign assigner, keys []uint64, steps [][]string) RingFigures {
	figures := RingFigures{Algorithm: name, MovedOverMinimum: 1}
	var previous []int
	for n, names := range steps {
		assigned := assign(keys, names)
		figures.MaxOverFairShare = max(figures.MaxOverFairShare, maxOverFair(assigned, len(names)))
		if n > 0 {
			moved, minimum := countMoved(previous, assigned, steps[n-1], names)
			figures.MovedOverMinimum = max(figures.MovedOverMinimum, float64(moved)/minimum)
		}
		previous = assigned
	}
	return figures
}

func maxOverFair(assigned []int, backends int) (worst float64) {
	counts := make([]int, backends)
	for _, b := range assigned {
		counts[b]++
	}
	for _, count := range counts {
		worst = max(worst, float64(count)*float64(backends)/float64(len(assigned)))
	}
	return worst
}

// countMoved returns the keys that changed their backend, by name, and how many had to.
func countMoved(before, after []int, namesBefore, namesAfter []string) (moved int, minimum float64) {
	remains := map[string]bool{}
	for _, name := range namesAfter {
		remains[name] = true
	}
	for k := range after {
		was := namesBefore[before[k]]
		if was != namesAfter[after[k]] {
			moved++
		}
		if !remains[was] {
			minimum++
		}
	}
	if added := len(namesAfter) - len(namesBefore); added > 0 {
		minimum += float64(len(after)) * float64(added) / float64(len(namesAfter))
	}
	return moved, minimum
}
