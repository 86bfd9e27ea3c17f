// Package faultnet is a network between fleet members on loopback that injects faults. Each member has a proxy for TCP and UDP
// of one or more ports. Every member binds an IP address of its own in 127.0.0.0/8 and sends from it (UDP from its bound socket,
// TCP dialled from its bound address), so that a proxy identifies senders by their source IP and applies the rules of each
// ordered pair of members: cut in one direction or both, or a rate of lost datagrams, drawn by a seeded generator.
//
// Its tables are the rules (one of each kind for an ordered pair; removed by Heal) and the TCP connections that are forwarded
// (maxPipes; closed by a cut between their ends). One mutex guards them; each proxy has two goroutines, and each connection
// two, all ended by Close.
package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// ErrNotLoopback is the error of StartProxy for an address outside loopback.
var ErrNotLoopback = errors.New("faultnet: not a loopback IP")

// ErrAddressTaken is the error of StartProxy for an IP that belongs to another member.
var ErrAddressTaken = errors.New("faultnet: IP of another member")

// Network is the proxies of all members, and the rules between them.
type Network struct {
	mu         sync.Mutex
	memberByIP map[string]string
	rules
	pipes   map[*pipe]struct{}
	closers []io.Closer // the proxies' listeners
}

// New creates a network without members; seed determines the losses.
func New(seed uint64) *Network {
	return &Network{memberByIP: map[string]string{}, rules: newRules(seed), pipes: map[*pipe]struct{}{}}
}

// StartProxy forwards what arrives at the address front (TCP and UDP) to the address of the member. The member's IP identifies it
// as a sender. A member may have several proxies, one for each of its ports. It returns ErrNotLoopback, ErrAddressTaken, or the
// error of binding front.
func (n *Network) StartProxy(name, member, front string) error {
	memberIP, err := loopbackIP(member)
	if err != nil {
		return err
	}
	if _, err := loopbackIP(front); err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		return err
	}
	if err := n.addMember(name, memberIP); err != nil {
		return err
	}
	udp, err := net.ListenPacket("udp", front)
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", front)
	if err != nil {
		udp.Close()
		return err
	}
	n.mu.Lock()
	n.closers = append(n.closers, udp, tcp)
	n.mu.Unlock()
	go n.forwardDatagrams(name, udp, target)
	go n.acceptStreams(name, tcp, member)
	return nil
}

// loopbackIP returns the IP of an address; it returns ErrNotLoopback for any that is not of loopback.
func loopbackIP(address string) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", fmt.Errorf("%w: found %q", ErrNotLoopback, host)
	}
	return host, nil
}

// addMember records the IP of a member; it returns ErrAddressTaken when another member has it.
func (n *Network) addMember(name, ip string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if other, ok := n.memberByIP[ip]; ok && other != name {
		return fmt.Errorf("%w: %s, of %s and %s", ErrAddressTaken, ip, other, name)
	}
	n.memberByIP[ip] = name
	return nil
}

// Close ends all proxies and closes all forwarded connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		c.Close()
	}
	for p := range n.pipes {
		p.close()
	}
}
