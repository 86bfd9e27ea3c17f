// This file owns the search for addresses that a member and its proxy can bind. Which port is drawn is no part of a script.

package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of FreeAddress lie under those that systems draw for connections on their way (32768 and up): members dial from the
// address that they listen at, so such a connection could else take a port before its owner listens.
const firstPort, portsEnd = 10000, 32000

// freeTries is how many ports FreeAddress tries.
const freeTries = 100

// FreeAddress is an address on a loopback IP with a port free for TCP and UDP both, as memberlist binds both.
func FreeAddress(ip string) (string, error) {
	for range freeTries {
		address := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(portsEnd-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if u, err := net.ListenPacket("udp", address); err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port of %d tried on %s free for TCP and UDP", freeTries, ip)
}
