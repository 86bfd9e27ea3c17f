package lease_test

import (
	"fmt"
	"testing"

	"thymechute/internal/decide/lease"
)

// explore applies every order of three members' claims, renewals, decisions and releases of two duties, with any delay and
// loss, to a depth. Leases are left out, so that fencing stands alone. It returns the states and the faults found.
func explore(depth int) (states, faults int) {
	type node struct {
		table    *lease.Table
		inFlight []lease.Command
		token    [3][2]uint64 // the last that each member was granted
		observed [3][2]uint64
	}
	duties := []string{"a", "b"}
	first, _ := lease.NewTable(duties...)
	known := map[string]bool{}
	level := []node{{table: first}}
	for range depth {
		var next []node
		add := func(n node) {
			key := fmt.Sprint(*n.table, n.inFlight, n.token, n.observed)
			if !known[key] {
				known[key] = true
				next = append(next, n)
			}
		}
		for _, n := range level {
			for m := range 3 {
				for d, duty := range duties {
					now, _ := n.table.At(duty)
					if n.observed[m][d] != now.RenewedIndex { // it hears of the last renewal
						c := n
						c.observed[m][d] = now.RenewedIndex
						add(c)
					}
					if len(n.inFlight) >= 2 {
						continue
					}
					for _, kind := range []lease.Kind{lease.Acquire, lease.Renew, lease.Release, lease.Decide} {
						if kind != lease.Acquire && n.token[m][d] == 0 {
							continue
						}
						c := n
						c.inFlight = append(append([]lease.Command{}, n.inFlight...), lease.Command{Kind: kind, Duty: duty,
							Member: fmt.Sprint(m), Incarnation: 1, Token: n.token[m][d], ObservedIndex: n.observed[m][d]})
						add(c)
					}
				}
			}
			for f, cmd := range n.inFlight {
				c := n
				c.inFlight = append(append([]lease.Command{}, n.inFlight[:f]...), n.inFlight[f+1:]...)
				add(c) // lost
				c.table = n.table.Copy()
				before, _ := n.table.At(cmd.Duty)
				o := c.table.Apply(n.table.Index()+1, cmd)
				after, _ := c.table.At(cmd.Duty)
				m, d := int(cmd.Member[0]-'0'), int(cmd.Duty[0]-'a')
				if cmd.Kind == lease.Acquire && o.Accepted {
					c.token[m][d] = after.Token
				}
				if after.Token < before.Token || o.Accepted && cmd.Kind != lease.Acquire &&
					(cmd.Token != before.Token || cmd.Member != before.Holder) {
					faults++
				}
				add(c)
			}
		}
		level = next
	}
	return len(known), faults
}

func TestFencingInEveryOrderOfCommands(t *testing.T) {
	states, faults := explore(7)
	t.Logf("%d states to a depth of 7", states)
	if faults != 0 || states < 50000 {
		t.Errorf("%d faults in %d states", faults, states)
	}
}
