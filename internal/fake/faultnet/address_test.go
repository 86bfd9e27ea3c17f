package faultnet

import (
	"net"
	"net/netip"
	"testing"
)

// The address is free for TCP and UDP, and its port is outside the ephemeral range.
func TestFreeAddress(t *testing.T) {
	for range 50 {
		address, err := FreeAddress("127.0.90.1")
		if err != nil {
			t.Fatal(err)
		}
		at := netip.MustParseAddrPort(address)
		if at.Addr() != netip.MustParseAddr("127.0.90.1") || at.Port() < minPort || at.Port() >= portsEnd {
			t.Errorf("found %s, expected 127.0.90.1 with a port from %d to below %d", address, minPort, portsEnd)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer u.Close()
	}
}

// An address that was returned and is not bound yet is not returned again. With this many draws, some ports are drawn repeatedly.
func TestFreeAddressIsNotReturnedTwice(t *testing.T) {
	const draws = 3000 // from 22,000 ports: about 200 pairs of equal ports are expected
	returned := map[string]bool{}
	for range draws {
		address, err := FreeAddress("127.0.90.2")
		if err != nil {
			t.Fatal(err)
		}
		if returned[address] {
			t.Fatalf("%s was returned twice", address)
		}
		returned[address] = true
	}
}
