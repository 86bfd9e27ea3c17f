package configuration

import (
	"math"
	"slices"
	"time"
)

const (
	maxRepairRounds     = 6   // digest comparisons before a repair is abandoned; a change of the source's state meanwhile costs one
	maxRequestBuckets   = 256 // buckets in one RepairRequest
	repairRetryInterval = 2 * time.Second
	repairRetryJitter   = time.Second
)

// repair is a repair in progress. It reconstructs the source's state by comparing digests; the result is activated only if its
// root digest is the one that the source reports for its version. The staged state is bounded like any State, and shares the
// parts that are equal with the active state.
type repair struct {
	staged      *State
	pending     []uint16 // differing buckets that are not repaired yet, in ascending order
	isCompared  bool     // a digest reply has arrived: pending lists all differing buckets
	rounds      int
	nextRequest time.Duration
}

// awaitingPollReply is the value of nextRequest until the source replies to a poll that a repair is needed.
const awaitingPollReply = math.MaxInt64

// restart starts the comparison of digests again, with the next request at a given time.
func (r *repair) restart(at time.Duration) {
	r.pending = nil
	r.isCompared = false
	r.nextRequest = at
}

// request sends the next request, or repeats the last one, if it is due.
func (r *repair) request(now time.Duration, m *Member) {
	if now < r.nextRequest {
		return
	}
	r.nextRequest = now + repairRetryInterval + m.jitter(repairRetryJitter)
	m.host.Send(m.Source(), r.nextMessage())
}

func (r *repair) nextMessage() Message {
	if !r.isCompared {
		return DigestRequest{Groups: r.staged.shortDigests()}
	}
	message := RepairRequest{}
	for _, index := range r.pending[:min(len(r.pending), maxRequestBuckets)] {
		message.Buckets = append(message.Buckets, BucketDigests{Bucket: index, Digests: r.staged.bucket(int(index)).shortDigests()})
	}
	return message
}

func (m *Member) handleDigestReply(now time.Duration, from string, reply DigestReply) error {
	r := m.repair
	if r == nil || r.isCompared || from != m.Source() {
		return nil
	}
	r.pending = append(r.pending, r.staged.differingBuckets(reply)...)
	r.isCompared = true
	r.nextRequest = now
	return m.continueRepair(now, from, reply.Position)
}

func (m *Member) handleRepairReply(now time.Duration, from string, reply RepairReply) error {
	r := m.repair
	if r == nil || !r.isCompared || from != m.Source() {
		return nil
	}
	changes, repaired := r.pendingChanges(reply)
	next, err := r.staged.With(reply.Version, changes)
	if err != nil {
		m.distrust(now, from)
		return err
	}
	r.staged = next
	r.nextRequest = now
	r.pending = slices.DeleteFunc(r.pending, func(index uint16) bool { return slices.Contains(repaired, index) })
	if m.disabled.atomicity {
		m.activate(now, next, reply.Position)
		return nil
	}
	return m.continueRepair(now, from, reply.Position)
}

// pendingChanges returns the changes to those buckets of a reply that are still pending, and their indexes. Buckets that are
// not pending come from a duplicate reply.
func (r *repair) pendingChanges(reply RepairReply) (changes []Change, repaired []uint16) {
	for _, b := range reply.Buckets {
		if _, isPending := slices.BinarySearch(r.pending, b.Bucket); !isPending {
			continue
		}
		repaired = append(repaired, b.Bucket)
		changes = append(changes, b.changes(r.staged.bucket(int(b.Bucket)))...)
	}
	return changes, repaired
}

// continueRepair requests the buckets that are still pending. If none are, it activates the staged state if its root digest is
// the source's; otherwise it compares again, or abandons the repair after maxRepairRounds.
func (m *Member) continueRepair(now time.Duration, from string, source Position) error {
	r := m.repair
	if len(r.pending) > 0 {
		r.request(now, m)
		return nil
	}
	next, err := r.staged.With(source.Version, nil)
	if err != nil {
		return err
	}
	if source.Version.Compare(m.state.version) <= 0 {
		m.repair = nil // a delta has already activated this version or a newer one
		return nil
	}
	if next.root == source.Root || m.disabled.digestCheck {
		m.history = &history{}
		m.Counters.Repairs++
		m.activate(now, next, source)
		return nil
	}
	if r.rounds++; r.rounds < maxRepairRounds {
		r.restart(now)
		r.request(now, m)
		return nil
	}
	m.repair = nil
	m.distrust(now, from)
	return reject(ReasonDigestMismatch, "repair to version %v from %q gives, after %d rounds, root digest %x, expected %x",
		source.Version, from, maxRepairRounds, next.root, source.Root)
}
