package lease_test

import (
	"fmt"
	"slices"
	"testing"

	"thymechute/internal/decide/lease"
)

const (
	searchMembers     = 3
	searchMaxInFlight = 2 // commands that are proposed but not yet applied or lost
)

var searchDuties = []string{"a", "b"}

// searchState is one state of the exhaustive search: the table, the commands in flight, and what each member knows.
type searchState struct {
	table    *lease.Table
	inFlight []lease.Command
	tokens   [searchMembers][2]uint64 // by member and duty: the last token granted to the member
	observed [searchMembers][2]uint64 // by member and duty: the index of the last renewal that the member knows of
}

func (s searchState) key() string { return fmt.Sprint(*s.table, s.inFlight, s.tokens, s.observed) }

// observations returns the successor states in which one member has learned of the last renewal of one duty.
func (s searchState) observations() (next []searchState) {
	for member := range searchMembers {
		for n, duty := range searchDuties {
			current, _ := s.table.Lookup(duty)
			if s.observed[member][n] == current.RenewedIndex {
				continue
			}
			after := s
			after.observed[member][n] = current.RenewedIndex
			next = append(next, after)
		}
	}
	return next
}

// proposals returns the successor states in which one member has proposed one more command.
func (s searchState) proposals() (next []searchState) {
	if len(s.inFlight) >= searchMaxInFlight {
		return nil
	}
	for member := range searchMembers {
		for n, duty := range searchDuties {
			for _, kind := range []lease.Kind{lease.Acquire, lease.Renew, lease.Release, lease.Decide} {
				if kind != lease.Acquire && s.tokens[member][n] == 0 {
					continue
				}
				after := s
				after.inFlight = append(slices.Clone(s.inFlight), lease.Command{Kind: kind, Duty: duty,
					Member: fmt.Sprint(member), Incarnation: 1, Token: s.tokens[member][n], ObservedIndex: s.observed[member][n]})
				next = append(next, after)
			}
		}
	}
	return next
}

// drop returns the successor state in which the command at a position in inFlight is lost.
func (s searchState) drop(position int) searchState {
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), position, position+1)
	return s
}

// commit returns the successor state in which the command at a position in inFlight is applied, and whether that violates
// fencing: the token went back, or a command of another process than the holder was accepted.
func (s searchState) commit(position int) (after searchState, violatesFencing bool) {
	command := s.inFlight[position]
	after = s.drop(position)
	after.table = s.table.Copy()
	dutyBefore, _ := s.table.Lookup(command.Duty)
	outcome := after.table.Apply(s.table.Index()+1, command)
	dutyAfter, _ := after.table.Lookup(command.Duty)
	isAcquisition := command.Kind == lease.Acquire
	if isAcquisition && outcome.Accepted {
		member, duty := int(command.Member[0]-'0'), int(command.Duty[0]-'a')
		after.tokens[member][duty] = dutyAfter.Token
	}
	isFromHolder := command.Token == dutyBefore.Token && command.Member == dutyBefore.Holder
	violatesFencing = dutyAfter.Token < dutyBefore.Token || outcome.Accepted && !isAcquisition && !isFromHolder
	return after, violatesFencing
}

// explore searches breadth-first, up to a depth, all orders in which three members claim, renew, decide and release two
// duties, with any delay or loss of commands. Lease times are not modelled, so only fencing protects the table. It returns
// the number of states visited and of fencing violations found.
func explore(table *lease.Table, depth int) (states, violations int) {
	visited := map[string]bool{}
	frontier := []searchState{{table: table}}
	for range depth {
		var next []searchState
		add := func(candidates ...searchState) {
			for _, s := range candidates {
				if key := s.key(); !visited[key] {
					visited[key] = true
					next = append(next, s)
				}
			}
		}
		for _, s := range frontier {
			add(s.observations()...)
			add(s.proposals()...)
			for position := range s.inFlight {
				after, violatesFencing := s.commit(position)
				if violatesFencing {
					violations++
				}
				add(s.drop(position), after)
			}
		}
		frontier = next
	}
	return len(visited), violations
}

func TestFencingInEveryOrderOfCommands(t *testing.T) {
	table, _ := lease.NewTable(searchDuties...)
	states, violations := explore(table, 7)
	t.Logf("%d states to a depth of 7", states)
	if violations != 0 || states < 50000 {
		t.Errorf("%d fencing violations in %d states, want none in at least 50000 states", violations, states)
	}
}
