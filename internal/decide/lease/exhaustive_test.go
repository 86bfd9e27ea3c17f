package lease_test

import (
	"fmt"
	"slices"
	"testing"

	"thymechute/internal/decide/lease"
)

const (
	searchMembers     = 3
	searchMaxInFlight = 2 // commands that are proposed and neither applied nor lost
)

var searchDuties = []string{"a", "b"}

// searchState is one state of the exhaustive search: the log's table, what is in flight, and what each member knows.
type searchState struct {
	table    *lease.Table
	inFlight []lease.Command
	tokens   [searchMembers][2]uint64 // by member and duty: the last token granted to it
	observed [searchMembers][2]uint64 // by member and duty: the last renewal that it knows of
}

func (s searchState) key() string { return fmt.Sprint(*s.table, s.inFlight, s.tokens, s.observed) }

// observations returns the states in which a member has learned of a renewal.
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

// proposals returns the states in which a member has proposed one more command.
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

// lose returns the state in which the command at a position in flight is lost.
func (s searchState) lose(position int) searchState {
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), position, position+1)
	return s
}

// commit returns the state in which the command at a position in flight is applied, and whether that broke fencing.
func (s searchState) commit(position int) (after searchState, isFault bool) {
	command := s.inFlight[position]
	after = s.lose(position)
	after.table = s.table.Copy()
	dutyBefore, _ := s.table.Lookup(command.Duty)
	outcome := after.table.Apply(s.table.Index()+1, command)
	dutyAfter, _ := after.table.Lookup(command.Duty)
	isAcquisition := command.Kind == lease.Acquire
	if isAcquisition && outcome.Accepted {
		member, duty := int(command.Member[0]-'0'), int(command.Duty[0]-'a')
		after.tokens[member][duty] = dutyAfter.Token
	}
	isHolders := command.Token == dutyBefore.Token && command.Member == dutyBefore.Holder
	isFault = dutyAfter.Token < dutyBefore.Token || outcome.Accepted && !isAcquisition && !isHolders
	return after, isFault
}

// explore applies every order of three members' claims, renewals, decisions and releases of two duties, with any delay and
// loss, to a depth, from an empty table. Lease times are left out, so that only fencing protects the table. It returns the number of states and
// of faults found.
func explore(table *lease.Table, depth int) (states, faults int) {
	known := map[string]bool{}
	level := []searchState{{table: table}}
	for range depth {
		var next []searchState
		add := func(candidates ...searchState) {
			for _, s := range candidates {
				if key := s.key(); !known[key] {
					known[key] = true
					next = append(next, s)
				}
			}
		}
		for _, s := range level {
			add(s.observations()...)
			add(s.proposals()...)
			for position := range s.inFlight {
				after, isFault := s.commit(position)
				if isFault {
					faults++
				}
				add(s.lose(position), after)
			}
		}
		level = next
	}
	return len(known), faults
}

func TestFencingInEveryOrderOfCommands(t *testing.T) {
	table, _ := lease.NewTable(searchDuties...)
	states, faults := explore(table, 7)
	t.Logf("%d states to a depth of 7", states)
	if faults != 0 || states < 50000 {
		t.Errorf("%d faults in %d states", faults, states)
	}
}
