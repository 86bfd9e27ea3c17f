// Package faultnet is a stand-in network between the members of a rig: one proxy a member, on loopback, for TCP and
// UDP of one port. Every member binds an address of its own in 127.0.0.0/8 and sends from it (UDP from its bound
// socket, TCP dialled from its bound address), so a proxy tells senders apart by their source IP and does to each
// pair what the script says: cut one way or both, lose a share of datagrams by a seeded generator, heal.
//
// It owns the proxies, the rules and the connections it pipes, and must never listen or dial outside loopback,
// draw chance that a seed can't tell again (but for free ports), nor outlive Close.
//
// Tables: rules hold at most one entry an ordered pair of members (cut, loss), emptied by Heal; pipes hold the TCP
// connections in flight, at most maxPipes, each removed as it ends and all closed by a cut between its two ends.
package faultnet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	maxPipes    = 4096  // TCP connections piped at once; past that one is refused
	maxDatagram = 65536 // bytes
)

type pair struct{ from, to string }

// Net is the proxies and the script's state.
type Net struct {
	mu     sync.Mutex
	byIP   map[string]string // a member's own IP to its name
	cut    map[pair]bool
	loss   map[pair]float64
	random *rand.Rand
	pipes  map[*pipe]struct{}
	closer []io.Closer
	passed map[pair]int // datagrams and connections let through, by pair; for tests
	held   map[pair]int // those dropped or refused
}

type pipe struct {
	from, to string
	a, b     net.Conn
}

// New makes an empty network; seed draws the losses.
func New(seed uint64) *Net {
	return &Net{byIP: map[string]string{}, cut: map[pair]bool{}, loss: map[pair]float64{}, pipes: map[*pipe]struct{}{},
		random: rand.New(rand.NewPCG(seed, 0xfa17)), passed: map[pair]int{}, held: map[pair]int{}}
}

// Front starts the proxy of a member: what comes to front (TCP and UDP) goes to member, whose IP is its own in the
// rig and names it as a sender; a member may have several ports, each with a front. Both must be loopback addresses. Errors: not loopback, an IP already taken, can't bind.
func (n *Net) Front(name, member, front string) error {
	mhost, _, err := net.SplitHostPort(member)
	if err != nil {
		return err
	}
	fhost, _, err := net.SplitHostPort(front)
	if err != nil {
		return err
	}
	for _, h := range []string{mhost, fhost} {
		if ip := net.ParseIP(h); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("faultnet: found %q, expected a loopback IP", h)
		}
	}
	n.mu.Lock()
	if other, ok := n.byIP[mhost]; ok && other != name {
		n.mu.Unlock()
		return fmt.Errorf("faultnet: IP %s of %s already names %s", mhost, name, other)
	}
	n.byIP[mhost] = name
	n.mu.Unlock()
	udp, err := net.ListenPacket("udp", front)
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", front)
	if err != nil {
		udp.Close()
		return err
	}
	target, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		udp.Close()
		tcp.Close()
		return err
	}
	n.mu.Lock()
	n.closer = append(n.closer, udp, tcp)
	n.mu.Unlock()
	go n.datagrams(name, udp, target)
	go n.streams(name, tcp, member)
	return nil
}

// sender is the member that an address belongs to, "" for none of the rig's.
func (n *Net) sender(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byIP[host]
}

// lets says whether a datagram from one to the other passes now, and counts it.
func (n *Net) lets(from, to string, stream bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	ok := from != "" && !n.cut[p] && (!stream || !n.cut[pair{to, from}]) // a stream carries both ways
	if ok && !stream && n.loss[p] > 0 && n.random.Float64() < n.loss[p] {
		ok = false
	}
	if ok {
		n.passed[p]++
	} else {
		n.held[p]++
	}
	return ok
}

func (n *Net) datagrams(to string, c net.PacketConn, target *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := c.ReadFrom(buf)
		if err != nil {
			return
		}
		if n.lets(n.sender(from), to, false) {
			_, _ = c.WriteTo(buf[:size], target)
		}
	}
}

func (n *Net) streams(to string, l net.Listener, member string) {
	for {
		a, err := l.Accept()
		if err != nil {
			return
		}
		from := n.sender(a.RemoteAddr())
		if !n.lets(from, to, true) {
			a.Close()
			continue
		}
		go n.stream(from, to, a, member)
	}
}

func (n *Net) stream(from, to string, a net.Conn, member string) {
	b, err := net.Dial("tcp", member)
	if err != nil {
		a.Close()
		return
	}
	p := &pipe{from, to, a, b}
	n.mu.Lock()
	full := len(n.pipes) >= maxPipes
	if !full {
		n.pipes[p] = struct{}{}
	}
	n.mu.Unlock()
	if full {
		a.Close()
		b.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(b, a); done <- struct{}{} }()
	go func() { _, _ = io.Copy(a, b); done <- struct{}{} }()
	<-done
	a.Close()
	b.Close()
	n.mu.Lock()
	delete(n.pipes, p)
	n.mu.Unlock()
}

// Cut stops what goes from one member to another (one way); streams between them end at once.
func (n *Net) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{from, to}] = true
	for p := range n.pipes {
		if (p.from == from && p.to == to) || (p.from == to && p.to == from) {
			p.a.Close()
			p.b.Close()
		}
	}
}

// Isolate cuts a member off from all the others, both ways.
func (n *Net) Isolate(name string, others []string) {
	for _, o := range others {
		if o != name {
			n.Cut(name, o)
			n.Cut(o, name)
		}
	}
}

// Partition cuts every pair that lies in two different groups, both ways; members in no group are left alone.
func (n *Net) Partition(groups ...[]string) {
	for i, g := range groups {
		for j, h := range groups {
			if i == j {
				continue
			}
			for _, a := range g {
				for _, b := range h {
					n.Cut(a, b)
				}
			}
		}
	}
}

// Lose drops a share (0 to 1) of the datagrams from one member to another.
func (n *Net) Lose(from, to string, share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss[pair{from, to}] = min(max(share, 0), 1)
}

// Heal takes back every cut and loss.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.loss)
}

// Counts is what passed and what was held from one member to another so far.
func (n *Net) Counts(from, to string) (passed, held int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed[pair{from, to}], n.held[pair{from, to}]
}

// Close ends all proxies and streams.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closer {
		c.Close()
	}
	for p := range n.pipes {
		p.a.Close()
		p.b.Close()
	}
}
