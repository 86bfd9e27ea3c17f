package scale

import (
	"fmt"
	"os"
)

// The ranges from which the process ID selects the network 127.N.0.0/16 and the port of LoopbackAddress.
const (
	firstNetwork    = 16
	networkCount    = 200
	hostsPerSubnet  = 250
	firstPort       = 20_000
	portsPerNetwork = 10_000
)

// LoopbackAddress returns the n-th address of this process, counted from 0. Each has its own IP in 127.0.0.0/8; all have the same
// port. Network and port depend on the process ID, so that concurrent measurements do not share addresses. n must be below
// 250 * 256.
func LoopbackAddress(n int) string {
	pid := os.Getpid()
	network := firstNetwork + pid%networkCount
	port := firstPort + pid/networkCount%portsPerNetwork
	return fmt.Sprintf("127.%d.%d.%d:%d", network, n/hostsPerSubnet, n%hostsPerSubnet+1, port)
}
