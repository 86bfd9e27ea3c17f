package membership

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// Transport carries a member's datagrams and streams.
type Transport = memberlist.NodeAwareTransport

// boundTransport is memberlist's network transport, but with outgoing TCP connections from the bound host. On a multi-homed
// host the others then see the address that they know, and tests can identify members by it.
type boundTransport struct {
	*memberlist.NetTransport
	localIP net.IP // if nil or unspecified, the kernel chooses
}

// newTransport listens for TCP and UDP at an address.
func newTransport(bind endpoint, logOutput io.Writer) (boundTransport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{bind.host},
		BindPort:  bind.port,
		Logger:    log.New(logOutput, "", log.LstdFlags),
	})
	return boundTransport{NetTransport: inner, localIP: net.ParseIP(bind.host)}, err
}

// DialTimeout implements memberlist.Transport.
func (t boundTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t boundTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if t.localIP != nil && !t.localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.localIP}
	}
	return dialer.Dial("tcp", address.Addr)
}
