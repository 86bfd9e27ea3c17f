package scale

import (
	"fmt"
	"os"
)

// The loopback addresses of a process: its ID determines the network 127.N.0.0/16 and the port.
const (
	firstNetwork    = 16
	networks        = 200
	hostsPerSubnet  = 250
	firstPort       = 20_000
	portsPerNetwork = 10_000
)

// LoopbackAddress returns the n-th address of this process, from 0: an IP of its own in 127.0.0.0/8 and a port. Both depend on
// the process's ID, so that two measurements at once do not share addresses. n is below 250 * 256.
func LoopbackAddress(n int) string {
	pid := os.Getpid()
	network := firstNetwork + pid%networks
	port := firstPort + pid/networks%portsPerNetwork
	return fmt.Sprintf("127.%d.%d.%d:%d", network, n/hostsPerSubnet, n%hostsPerSubnet+1, port)
}
