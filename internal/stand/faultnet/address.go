// This file owns the search for addresses that a member and its proxy can bind.

package faultnet

import (
	"fmt"
	"net"
)

// freeTries is how many ports FreeAddress tries.
const freeTries = 20

// FreeAddress is an address on a loopback IP with a port free for TCP and UDP both, as memberlist binds both.
func FreeAddress(ip string) (string, error) {
	for range freeTries {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if u, err := net.ListenPacket("udp", address); err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port on %s free for TCP and UDP", ip)
}
