// This file owns the loopback addresses that the rig's processes listen on.

package rig

import (
	"fmt"
	"net"
)

// Free is a loopback address that nothing listens on.
func Free() (string, error) { return FreeOn("127.0.0.1") }

// FreeOn is an address on a loopback IP with a port free for TCP and UDP both, as memberlist binds both.
func FreeOn(ip string) (string, error) {
	for range 20 {
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
