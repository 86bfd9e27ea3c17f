package faultnet

import "math/rand/v2"

// lossStream is the second seed of the generator that draws losses.
const lossStream = 0xfa17

// pair is an ordered pair of member names: sender and receiver.
type pair struct{ from, to string }

func (p pair) reversed() pair { return pair{p.to, p.from} }

// transport is the way in which members send to each other.
type transport int

const (
	datagram transport = iota
	stream             // a TCP connection, which carries data in both directions
)

// rules decide which datagrams and connections pass between members, and count them.
type rules struct {
	cuts      map[pair]bool
	loss      map[pair]float64 // rate of lost datagrams, 0 to 1
	random    *rand.Rand
	forwarded map[pair]int // count of datagrams and connections
	dropped   map[pair]int // count of datagrams and connections
}

func newRules(seed uint64) rules {
	return rules{cuts: map[pair]bool{}, loss: map[pair]float64{}, random: rand.New(rand.NewPCG(seed, lossStream)),
		forwarded: map[pair]int{}, dropped: map[pair]int{}}
}

// allow decides whether a datagram or a new connection passes, and counts it. Traffic from an unknown sender never passes.
func (r *rules) allow(p pair, kind transport) bool {
	allowed := p.from != "" && !r.isCut(p, kind) && !r.drawLoss(p, kind)
	if allowed {
		r.forwarded[p]++
	} else {
		r.dropped[p]++
	}
	return allowed
}

// isCut reports whether a cut blocks the traffic. A stream carries data in both directions, so a cut in either blocks it.
func (r *rules) isCut(p pair, kind transport) bool {
	if kind == stream && r.cuts[p.reversed()] {
		return true
	}
	return r.cuts[p]
}

// drawLoss decides at random whether a datagram is lost; it draws only where a loss rate is set.
func (r *rules) drawLoss(p pair, kind transport) bool {
	return kind == datagram && r.loss[p] > 0 && r.random.Float64() < r.loss[p]
}

// Cut drops all traffic from one member to another, in this direction only, and closes the connections between them.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := pair{from, to}
	n.cuts[cut] = true
	for p := range n.proxiedConns {
		if between := (pair{p.from, p.to}); between == cut || between == cut.reversed() {
			p.close()
		}
	}
}

// Isolate cuts a member off from the others, in both directions.
func (n *Network) Isolate(name string, others []string) {
	for _, other := range others {
		if other != name {
			n.Cut(name, other)
			n.Cut(other, name)
		}
	}
}

// Partition cuts every pair of members that are in different groups, in both directions. Members in no group are unaffected.
func (n *Network) Partition(groups ...[]string) {
	for i, group := range groups {
		for j, other := range groups {
			if i != j {
				n.cutAll(group, other)
			}
		}
	}
}

// cutAll cuts every member of one group from every member of another, in this direction only.
func (n *Network) cutAll(from, to []string) {
	for _, sender := range from {
		for _, receiver := range to {
			n.Cut(sender, receiver)
		}
	}
}

// SetLoss sets the rate (0 to 1) at which datagrams from one member to another are lost.
func (n *Network) SetLoss(from, to string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss[pair{from, to}] = min(max(rate, 0), 1)
}

// Heal removes all cuts and loss rates.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.loss)
}

// Counts returns how many datagrams and connections from one member to another were forwarded and dropped so far.
func (n *Network) Counts(from, to string) (forwarded, dropped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.forwarded[pair{from, to}], n.dropped[pair{from, to}]
}
