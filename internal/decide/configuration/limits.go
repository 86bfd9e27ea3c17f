package configuration

import "time"

// Limits of the children that poll a relay or control node.
const (
	MaxChildren        = 12 // of a relay: its own, those of a failed relay that it backs up, and some that switch sources
	MaxControlChildren = 96 // of a control node: the zones' first members, starting members, and members far behind
)

// Byte budgets. A relay's window is a minute, in which it sends 2.7 KB/s of the 6 KB/s that a member may use; the rest is for
// polls and what it receives. A control node's window is three seconds.
const (
	relayLimiterSlot   = 5 * time.Second
	relayBudgetBytes   = 160 << 10 // in a window
	controlLimiterSlot = time.Second / 4
	controlBudgetBytes = 6 << 20 // in a window
)

// Retransmission of deltas: one counts as in flight for minResendDelay and the time that its bytes take at
// assumedBytesPerSecond.
const (
	minResendDelay        = time.Second
	assumedBytesPerSecond = 64 << 10
)

// Approximate costs on the wire: a message within maxDatagramBytes is sent as a datagram, a larger one on a stream.
const (
	maxDatagramBytes           = 1100
	datagramOverheadBytes      = 100
	streamOverheadBytes        = 800
	streamBytesPerOverheadByte = 16
	groupDigestsBytes          = 1 + 4*digestFanOut // one encoded GroupDigests
)

// serverLimits bound what a relay or control node does for its children.
type serverLimits struct {
	maxChildren     int
	maxDeltaBytes   int           // of one delta; a child that lacks more is referred to a control node, or compares digests there
	maxRepairBytes  int           // of one RepairReply
	maxDigestGroups int           // groups that differ; a child with more is referred to a control node
	childTimeout    time.Duration // a child that is silent for longer is dropped
}

var (
	relayLimits = serverLimits{
		maxChildren:     MaxChildren,
		maxDeltaBytes:   MaxChangeBytes,
		maxRepairBytes:  8 << 10,
		maxDigestGroups: 6,
		childTimeout:    10 * time.Second,
	}
	controlLimits = serverLimits{
		maxChildren:     MaxControlChildren,
		maxDeltaBytes:   400 << 10,
		maxRepairBytes:  256 << 10,
		maxDigestGroups: digestFanOut,
		childTimeout:    5 * time.Second,
	}
)

// wireCost is approximately what a message with a payload of size bytes takes on the wire.
func wireCost(size int) int {
	if size <= maxDatagramBytes {
		return size + datagramOverheadBytes
	}
	return size + size/streamBytesPerOverheadByte + streamOverheadBytes
}
