package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoFreePort is the error of FreeAddress when all ports that it tried are in use.
var ErrNoFreePort = errors.New("faultnet: no free port")

// The ports of FreeAddress, from minPort to before portsEnd. They lie below the ephemeral range (from 32768): members dial from
// the address at which they listen, so an outgoing connection could otherwise take a port before its owner listens.
const (
	minPort  = 10000
	portsEnd = 32000
)

const maxPortAttempts = 100

// returnedAddresses has all addresses that FreeAddress has returned in this process. Their owners bind them later, so until
// then they look free: without the table a member could get one address for two of its ports.
var returnedAddresses sync.Map

// FreeAddress returns an address on a loopback IP whose port is free for both TCP and UDP, as memberlist binds both. The port is
// random and not determined by any seed. No address is returned twice in a process. It returns ErrNoFreePort after
// maxPortAttempts ports.
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
	return "", fmt.Errorf("%w: %d tried on %s for TCP and UDP", ErrNoFreePort, maxPortAttempts, ip)
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
