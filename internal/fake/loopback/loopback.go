// Package loopback checks that the fakes listen on loopback only.
package loopback

import (
	"fmt"
	"net/netip"
)

// AddressError reports an address that is not an IP of loopback with a port.
type AddressError struct{ Found string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("found %q, expected a loopback address and a port", e.Found)
}

// Parse parses an address of loopback, such as 127.0.0.1:0. Host names are not resolved. Its error is an *AddressError.
func Parse(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return netip.AddrPort{}, &AddressError{Found: address}
	}
	return parsed, nil
}
