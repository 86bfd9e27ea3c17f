package configuration

import "time"

// Maximum numbers of children, the members that poll a relay or control node.
const (
	MaxChildren        = 12 // of a relay: its own, those of a failed relay that it backs up, and a few that are switching sources
	MaxControlChildren = 96 // of a control node: the first members of zones, starting members, and members that are far behind
)

// Byte budgets for what is sent to children. A relay's window is a minute: its budget is 2.7 KB/s, of the 6 KB/s that a member
// may use in total; the rest is for polls and for what it receives. A control node's window is three seconds.
const (
	relayLimiterSlot   = 5 * time.Second
	relayBudgetBytes   = 160 << 10 // in a window
	controlLimiterSlot = time.Second / 4
	controlBudgetBytes = 6 << 20 // in a window
)

// Retransmission of deltas. A delta is assumed to be in flight for minResendDelay plus the time that its bytes take at
// assumedBytesPerSecond.
const (
	minResendDelay        = time.Second
	assumedBytesPerSecond = 64 << 10
)

// Approximate costs on the wire. A message of at most maxDatagramBytes is sent as a datagram, a larger one on a stream.
const (
	maxDatagramBytes           = 1100
	datagramOverheadBytes      = 100
	streamOverheadBytes        = 800
	streamBytesPerOverheadByte = 16
	groupDigestsBytes          = 1 + 4*digestFanOut // one encoded GroupDigests
)

// serverLimits bounds what a relay or control node does for its children.
type serverLimits struct {
	maxChildren     int
	maxDeltaBytes   int           // of one delta; a relay refers a child that lacks more, a control node makes it compare digests
	maxRepairBytes  int           // of one RepairReply
	maxDigestGroups int           // differing groups; a child with more is referred to a control node
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

// wireCost returns the approximate number of bytes on the wire for a message with a payload of size bytes.
func wireCost(size int) int {
	if size <= maxDatagramBytes {
		return size + datagramOverheadBytes
	}
	return size + size/streamBytesPerOverheadByte + streamOverheadBytes
}
