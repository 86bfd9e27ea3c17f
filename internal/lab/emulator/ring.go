package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/ring"
)

const (
	ringRandomStream         = 0x41a6
	ringZones                = 3
	maxBackendsOfSingleSteps = 40 // of the first step; with more, they join and leave a quarter at a time
	bytesPerSlot             = 2
	bytesPerBackend          = 56 // a record, without the bytes of its strings
	slotAlgorithm            = "slots"
)

// RingScenario is a script of backends that join and leave. The keys are random, from the seed.
type RingScenario struct {
	Backends int // at the start
	Slots    int
	Keys     int
	Seed     uint64
}

// RingFigures are the measurements of one algorithm, each the maximum over the script's steps.
type RingFigures struct {
	Algorithm        string
	MovedOverMinimum float64 // keys that changed their backend, over the minimum
	MaxOverFairShare float64 // keys of the backend with the most, over the mean
}

// RingResult holds the measurements of the ring's plans and, for comparison, of published algorithms.
type RingResult struct {
	Algorithms            []RingFigures
	MigrationsOverMinimum float64       // migrations of a ring's plan over the minimum of any plan; the maximum
	MaxSlotsOverFairShare float64       // slots of the backend with the most, over the mean; the maximum
	SlowestPlan           time.Duration // the longest time that a plan took, in real time
	TableBytes            int           // of the table's slots and backends
}

// CompareRing runs the script: the number of backends grows by half, one by one (a quarter at a time if there are more than
// 40), then shrinks by a third in the same steps, and at the end one backend fails and returns. CompareRing returns the error
// of the first plan that fails.
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
	// After the baselines, so that the timed plans run with warm caches.
	slotFigures := measureAlgorithm(slotAlgorithm, slots.assign, keys, steps)
	result := slots.result
	result.Algorithms = append([]RingFigures{slotFigures}, baselines...)
	result.TableBytes = bytesPerSlot*scenario.Slots + len(steps[len(steps)-1])*bytesPerBackend
	return result, slots.err
}

// membershipScript returns the names of the backends that are present in each step.
func membershipScript(backends int) (steps [][]string) {
	step := 1
	if backends > maxBackendsOfSingleSteps {
		step = backends / 4
	}
	for n := backends; n <= backends+backends/2; n += step {
		steps = append(steps, backendNames(0, n))
	}
	last := len(steps[len(steps)-1])
	for n := step; n <= last/3; n += step { // the first ones leave, the worst case for algorithms that identify backends by index
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

// slotAssigner assigns keys by the ring's plans. Each plan starts from the table of the previous one.
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

// plan computes and measures the next table. Only SlowestPlan depends on the real time that it takes.
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

// measureAlgorithm compares, in each step, the number of keys that changed their backend with the minimum: the keys of removed
// backends and a fair share for each added one.
func measureAlgorithm(name string, assign assigner, keys []uint64, steps [][]string) RingFigures {
	figures := RingFigures{Algorithm: name, MovedOverMinimum: 1}
	var previous []int
	for n, names := range steps {
		assigned := assign(keys, names)
		figures.MaxOverFairShare = max(figures.MaxOverFairShare, maxOverFairShare(assigned, len(names)))
		if n > 0 {
			moved, minimum := countMoved(previous, assigned, steps[n-1], names)
			figures.MovedOverMinimum = max(figures.MovedOverMinimum, float64(moved)/minimum)
		}
		previous = assigned
	}
	return figures
}

func maxOverFairShare(assigned []int, backends int) (worst float64) {
	counts := make([]int, backends)
	for _, b := range assigned {
		counts[b]++
	}
	for _, count := range counts {
		worst = max(worst, float64(count)*float64(backends)/float64(len(assigned)))
	}
	return worst
}

// countMoved returns the number of keys whose backend has another name afterwards, and the minimum of any algorithm.
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
