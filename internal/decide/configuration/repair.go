package configuration

import (
	"math"
	"slices"
	"time"
)

const (
	maxRepairRounds     = 6   // comparisons before a repair is given up; the source's state changing meanwhile costs one
	maxRequestBuckets   = 256 // buckets in one RepairRequest
	repairRetryInterval = 2 * time.Second
	repairRetryJitter   = time.Second
)

// repair is a repair in progress. It builds the source's state by comparing digests, and activates the result only if its root is
// the one that the source reports for its version. The staged state is bounded like any State, and shares its equal parts
// with the active one.
type repair struct {
	staged      *State
	pending     []uint16 // buckets that differ, in order
	hasDigests  bool     // the differing buckets are known, so that it requests these
	rounds      int
	nextRequest time.Duration
}

// awaitingPollReply is the time of the next request while the source has not replied yet that a repair is needed.
const awaitingPollReply = math.MaxInt64

// restart makes the repair compare all digests again, with the next request at the given time.
func (r *repair) restart(at time.Duration) {
	r.pending = nil
	r.hasDigests = false
	r.nextRequest = at
}

// request sends the next request, or repeats the last one, if that is due.
func (r *repair) request(now time.Duration, m *Member) {
	if now < r.nextRequest {
		return
	}
	r.nextRequest = now + repairRetryInterval + m.jitter(repairRetryJitter)
	m.host.Send(m.Source(), r.nextMessage())
}

func (r *repair) nextMessage() Message {
	if !r.hasDigests {
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
	if r == nil || r.hasDigests || from != m.Source() {
		return nil
	}
	r.pending = append(r.pending, r.staged.differingBuckets(reply)...)
	r.hasDigests = true
	r.nextRequest = now
	return m.continueRepair(now, from, reply.Position)
}

func (m *Member) handleRepairReply(now time.Duration, from string, reply RepairReply) error {
	r := m.repair
	if r == nil || !r.hasDigests || from != m.Source() {
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

// pendingChanges are the changes to the buckets of a reply that are still pending; others come from a duplicate reply.
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

// continueRepair requests what is still pending. With nothing pending it activates the staged state if its root is the
// source's, and compares again or gives up otherwise.
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
		m.repair = nil // a delta has overtaken it
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
	return reject(ReasonDigestMismatch, "state %v of %s after %d rounds", source.Version, from, maxRepairRounds)
}
