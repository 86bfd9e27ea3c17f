package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoFreePort is returned by FreeAddress when all ports that it tried are in use.
var ErrNoFreePort = errors.New("faultnet: no free port")

// FreeAddress returns ports from minPort to portsEnd-1, below the ephemeral range (from 32768). Members dial from the IP on which
// they listen, so an outgoing connection could take an ephemeral port before the owner of that port listens on it.
const (
	minPort  = 10000
	portsEnd = 32000
)

const maxPortAttempts = 100

// returnedAddresses is the set of addresses that FreeAddress has returned in this process. An address looks free until its owner
// binds it; without this set a member could get the same address for two of its ports.
var returnedAddresses sync.Map

// FreeAddress returns an address with the given loopback IP and a port that is free for both TCP and UDP, as memberlist binds
// both. The port is random and does not depend on any seed. An address is returned only once per process. FreeAddress returns
// ErrNoFreePort after maxPortAttempts ports.
func FreeAddress(ip string) (string, error) {
	for range maxPortAttempts {
		address := fmt.Sprintf("%s:%d", ip, minPort+rand.IntN(portsEnd-minPort))
		if !isFree(address) {
			continue
		}
		if _, isReturned := returnedAddresses.LoadOrStore(address, struct{}{}); !isReturned {
			return address, nil
		}
	}
	return "", fmt.Errorf("%w: tried %d ports of %s, each must be free for TCP and UDP", ErrNoFreePort, maxPortAttempts, ip)
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}
