// Package loopback validates the addresses on which the fakes listen, so that they are reachable on this host only.
package loopback

import (
	"fmt"
	"net/netip"
)

// AddressError reports an address that is not a loopback IP address with a port.
type AddressError struct{ Found string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("address %q is not a loopback IP address with a port", e.Found)
}

// Parse parses a loopback address with a port, such as 127.0.0.1:0. It does not resolve host names. It returns an *AddressError.
func Parse(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return netip.AddrPort{}, &AddressError{Found: address}
	}
	return parsed, nil
}
