package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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

// FreeAddress returns an address on a loopback IP whose port is free for both TCP and UDP, as memberlist binds both. The port is
// random and not determined by any seed. It returns ErrNoFreePort after maxPortAttempts ports.
func FreeAddress(ip string) (string, error) {
	for range maxPortAttempts {
		address := fmt.Sprintf("%s:%d", ip, minPort+rand.IntN(portsEnd-minPort))
		if isFree(address) {
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
