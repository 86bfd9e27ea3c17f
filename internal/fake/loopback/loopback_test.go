package loopback

import (
	"errors"
	"testing"
)

// Loopback addresses are parsed. All others are rejected with an error that has the address.
func TestParse(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "127.9.8.7:65535", "[::1]:80"} {
		if parsed, err := Parse(address); err != nil || parsed.String() != address {
			t.Errorf("%s: found %v, %v", address, parsed, err)
		}
	}
	for _, address := range []string{"", "nowhere", "localhost:80", "127.0.0.1", "127.0.0.1:65536", "0.0.0.0:80", "10.0.0.1:80"} {
		_, err := Parse(address)
		var invalid *AddressError
		if !errors.As(err, &invalid) || invalid.Found != address {
			t.Errorf("%q: found %v, expected an *AddressError", address, err)
		}
	}
}
