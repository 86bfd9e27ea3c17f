package emulator

import (
	"fmt"
	"slices"

	"thymechute/internal/decide/subset"
)

const minSubsetMembers = 6

// SubsetOptions are the parameters of CompareSubsets.
type SubsetOptions struct {
	Members          int // in the largest view; at least 6
	Backends         int // at least SubsetSize
	SubsetSize       int // backends per member, at least 1
	Seed             uint64
	MaxMeasuredSteps int // of the joins and of the leaves, each; they are spread evenly
}

func (o SubsetOptions) validate() error {
	if o.Members < minSubsetMembers || o.SubsetSize < 1 || o.Backends < o.SubsetSize {
		return fmt.Errorf(
			"subsets: found %d members, %d backends, subset size %d; expected at least %d members, and subset size 1 to the number of backends",
			o.Members, o.Backends, o.SubsetSize, minSubsetMembers)
	}
	return nil
}

// StrategyFigures are the measurements of one strategy with a script of views.
type StrategyFigures struct {
	Strategy       subset.Strategy
	WorstImbalance float64 // highest over mean load of the backends; the maximum over the stable views
	MemberChurn    float64 // connections opened over the minimum; the maximum over the steps in which a member joins or leaves
	BackendChurn   float64 // the same for steps in which a backend is removed or added
	MeasuredSteps  int
}

// CompareSubsets plays the same script of views for every strategy of internal/decide/subset. Members claim ranks as in a real
// fleet: each claims the rank that it had in the previous view, and each member that joins has a higher epoch.
func CompareSubsets(options SubsetOptions) ([]StrategyFigures, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	script := newViewScript(options)
	view := newSubsetView(script.members, script.backends, options.SubsetSize)
	figures := make([]StrategyFigures, len(subset.Strategies))
	for n, strategy := range subset.Strategies {
		figures[n].Strategy = strategy
	}
	for n, step := range script.steps {
		if !step.isMeasured && !step.isStable {
			view.apply(step, joinEpoch(n))
			continue
		}
		before := make([]map[string][]string, len(figures))
		for n := range figures {
			before[n] = view.subsets(figures[n].Strategy)
		}
		view.apply(step, joinEpoch(n))
		for n := range figures {
			figures[n].measureStep(step, view, before[n])
		}
	}
	return figures, nil
}

// joinEpoch returns the epoch of a member that joins in a step. The members of the first view have epoch 0.
func joinEpoch(step int) uint64 { return uint64(step) + 1 }

// measureStep updates the measurements with one step. view is the view after the step, before the subsets before it.
func (f *StrategyFigures) measureStep(step viewStep, view *subsetView, before map[string][]string) {
	after := view.subsets(f.Strategy)
	if step.isStable {
		f.WorstImbalance = max(f.WorstImbalance, subset.LoadImbalance(after, view.backends))
	}
	if !step.isMeasured {
		return
	}
	f.MeasuredSteps++
	opened := subset.OpenedConnections(before, after)
	churn := float64(opened) / float64(view.viewChange(step.event).MinOpenedConnections())
	switch step.event {
	case memberJoins, memberLeaves:
		f.MemberChurn = max(f.MemberChurn, churn)
	case backendRemoved, backendAdded:
		f.BackendChurn = max(f.BackendChurn, churn)
	}
}

// subsetView is the view of the emulated fleet that all members share.
type subsetView struct {
	claims     []subset.Claim
	backends   []string // sorted
	subsetSize int
}

func newSubsetView(members, backends []string, subsetSize int) *subsetView {
	v := &subsetView{backends: backends, subsetSize: subsetSize}
	for _, name := range members {
		v.claims = append(v.claims, subset.Claim{Name: name, Rank: unranked})
	}
	ClaimAssignedRanks(v.claims)
	return v
}

// unranked is the claimed rank of a member that has no rank yet.
const unranked = -1

// apply changes the view by one step. A member that joins gets the given epoch.
func (v *subsetView) apply(step viewStep, epoch uint64) {
	switch step.event {
	case memberJoins:
		v.claims = append(v.claims, subset.Claim{Name: step.name, Rank: unranked, JoinEpoch: epoch})
	case memberLeaves:
		v.claims = slices.DeleteFunc(v.claims, func(claim subset.Claim) bool { return claim.Name == step.name })
	case backendRemoved:
		v.backends = slices.DeleteFunc(slices.Clone(v.backends), func(backend string) bool { return backend == step.name })
	case backendAdded:
		v.backends = append(slices.Clone(v.backends), step.name)
		slices.Sort(v.backends)
	}
	ClaimAssignedRanks(v.claims)
}

// ClaimAssignedRanks has each member claim the rank that subset.AssignRanks assigns to it.
func ClaimAssignedRanks(claims []subset.Claim) {
	ranks := subset.AssignRanks(claims)
	for n := range claims {
		claims[n].Rank = ranks[claims[n].Name]
	}
}

func (v *subsetView) subsets(strategy subset.Strategy) map[string][]string {
	return subset.AssignSubsets(strategy, v.claims, v.backends, v.subsetSize)
}

// viewChange describes the step that led to this view.
func (v *subsetView) viewChange(event viewEvent) subset.ViewChange {
	change := subset.ViewChange{SubsetSize: v.subsetSize, Members: len(v.claims), Backends: len(v.backends)}
	switch event {
	case memberJoins:
		change.MembersJoined = 1
	case memberLeaves:
		change.MembersLeft = 1
	case backendRemoved:
		change.BackendsRemoved = 1
	case backendAdded:
		change.BackendsAdded = 1
	}
	return change
}
