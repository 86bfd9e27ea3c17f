package ring

import "time"

// Decision says whether a call may be sent, and if not, why.
type Decision uint8

// The decisions. Admit returns a backend only with Allow and AllowStale.
const (
	Allow                Decision = iota // the call must end by the returned deadline
	AllowStale                           // idempotent call without a lease: the table may be out of date
	RejectMigrating                      // the slot is migrating
	RejectLeaseExpired                   // non-idempotent call without a lease
	RejectUnassigned                     // no backend owns the slot
	RejectQuotaExhausted                 // the backend is warming up, and this member has no quota left for it
)

// Idempotency says whether a call may safely be executed more than once.
type Idempotency bool

// The two kinds of calls.
const (
	NotIdempotent Idempotency = false
	Idempotent    Idempotency = true
)

// CallGate decides which calls one member may send to backends, based on its copy of the table and its lease on it. All
// times are by the member's clock. It is not safe for concurrent use.
type CallGate struct {
	table       *Table
	frozen      map[int]bool // migrating slots; at most MaxSlots, cleared by Activate
	leaseExpiry time.Duration
	quotas      map[string]*callQuota // by name of a backend that is warming up; replaced by each grant
}

// callQuota limits the calls that the member may still send to a backend. They must end by expiry.
type callQuota struct {
	remaining int
	expiry    time.Duration
}

// NewCallGate returns the gate of a member that has a copy of the table but no lease on it yet.
func NewCallGate(t *Table) *CallGate { return &CallGate{table: t, frozen: map[int]bool{}} }

// Table returns the table in use.
func (g *CallGate) Table() *Table { return g.table }

// Freeze rejects new calls on slots that are about to migrate. The member acknowledges the freeze once it has no call in
// flight on any of them.
func (g *CallGate) Freeze(slots []int) {
	for _, slot := range slots {
		g.frozen[slot] = true
	}
}

// Activate replaces the table in use, and unfreezes all slots.
func (g *CallGate) Activate(t *Table) {
	g.table = t
	clear(g.frozen)
}

// ExtendLease records that an acknowledgement that this member sent at sentAt is in the log. Until a lease counted from
// sentAt has expired, no newer table becomes active without an acknowledgement of this member. ExtendLease never shortens
// the lease.
func (g *CallGate) ExtendLease(sentAt time.Duration, terms LeaseTerms) {
	g.leaseExpiry = max(g.leaseExpiry, sentAt+terms.usableDuration())
}

// SetQuotas replaces the quotas by those of a grant: calls by backend. They expire with the lease that the member holds
// when it applies the grant, so a member that was suspended or that applies the log late cannot use an old grant.
func (g *CallGate) SetQuotas(calls map[string]int) {
	g.quotas = make(map[string]*callQuota, len(calls))
	for backend, n := range calls {
		g.quotas[backend] = &callQuota{remaining: n, expiry: g.leaseExpiry}
	}
}

// Admit decides whether a call on a slot may be sent now. It returns the backend to call, the deadline by which the call
// must end (0 if there is none), and the decision. Each Allow for a backend that is warming up uses up one call of its
// quota.
func (g *CallGate) Admit(now time.Duration, slot int, idempotency Idempotency) (*Backend, time.Duration, Decision) {
	b, isAssigned := g.table.Owner(slot)
	switch {
	case !isAssigned:
		return nil, 0, RejectUnassigned
	case g.frozen[slot]:
		return nil, 0, RejectMigrating
	case b.WarmingUp:
		return g.admitWarmingUp(now, b)
	case now < g.leaseExpiry:
		return b, g.leaseExpiry, Allow
	case idempotency == Idempotent:
		return b, 0, AllowStale
	}
	return nil, 0, RejectLeaseExpired
}

func (g *CallGate) admitWarmingUp(now time.Duration, b *Backend) (*Backend, time.Duration, Decision) {
	quota := g.quotas[b.Name]
	if quota == nil || quota.remaining == 0 || now >= quota.expiry {
		return nil, 0, RejectQuotaExhausted
	}
	quota.remaining--
	return b, quota.expiry, Allow
}
