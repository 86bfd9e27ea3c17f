// Package faultnet connects fleet members on loopback through proxies that inject network faults. Each member has one or more
// proxies, each for TCP and UDP on one port. Every member binds its own IP address in 127.0.0.0/8 and sends from it (UDP from its
// bound socket, TCP by dialing from that address), so that a proxy can identify the sender by its source IP. The proxy applies
// the rules of the ordered pair of members: a cut, in one direction or both, and a rate of lost datagrams, drawn by a seeded
// generator.
//
// Its tables are the rules (at most one of each kind per ordered pair; removed by Heal) and the proxied TCP connections (at most
// maxProxiedConns; closed by a cut between their members). One mutex guards them. Each proxy has two goroutines, and so has
// each connection; Close stops all of them.
package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// ErrNotLoopback is returned by StartProxy for an address that is not a loopback IP.
var ErrNotLoopback = errors.New("faultnet: not a loopback IP")

// ErrAddressTaken is returned by StartProxy for a member IP that belongs to another member.
var ErrAddressTaken = errors.New("faultnet: IP already belongs to another member")

// Network holds the proxies of all members and the rules between them.
type Network struct {
	mu         sync.Mutex
	memberByIP map[string]string
	rules
	proxiedConns map[*proxiedConn]struct{}
	closers      []io.Closer // sockets of the proxies
}

// New creates a network without members. seed determines which datagrams are lost.
func New(seed uint64) *Network {
	return &Network{memberByIP: map[string]string{}, rules: newRules(seed), proxiedConns: map[*proxiedConn]struct{}{}}
}

// StartProxy starts a proxy that forwards TCP connections and UDP datagrams from listenAddress to memberAddress. The IP of
// memberAddress identifies the member as a sender. A member can have several proxies, one for each of its ports. StartProxy
// returns ErrNotLoopback, ErrAddressTaken, or the error of binding listenAddress.
func (n *Network) StartProxy(memberName, memberAddress, listenAddress string) error {
	memberIP, err := loopbackIP(memberAddress)
	if err != nil {
		return err
	}
	if _, err := loopbackIP(listenAddress); err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", memberAddress)
	if err != nil {
		return err
	}
	if err := n.addMember(memberName, memberIP); err != nil {
		return err
	}
	udp, err := net.ListenPacket("udp", listenAddress)
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", listenAddress)
	if err != nil {
		udp.Close()
		return err
	}
	n.mu.Lock()
	n.closers = append(n.closers, udp, tcp)
	n.mu.Unlock()
	go n.forwardDatagrams(memberName, udp, target)
	go n.acceptStreams(memberName, tcp, memberAddress)
	return nil
}

// loopbackIP returns the IP of an address, or ErrNotLoopback when it is not a loopback IP.
func loopbackIP(address string) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", fmt.Errorf("%w: %q", ErrNotLoopback, host)
	}
	return host, nil
}

// addMember records the IP of a member. It returns ErrAddressTaken when the IP belongs to another member.
func (n *Network) addMember(name, ip string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if other, ok := n.memberByIP[ip]; ok && other != name {
		return fmt.Errorf("%w: %s belongs to %s, requested for %s", ErrAddressTaken, ip, other, name)
	}
	n.memberByIP[ip] = name
	return nil
}

// Close stops all proxies and closes all proxied connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		c.Close()
	}
	for p := range n.proxiedConns {
		p.close()
	}
}
