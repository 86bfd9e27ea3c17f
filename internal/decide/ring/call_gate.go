package ring

import "time"

// Decision is a CallGate's answer.
type Decision uint8

// The decisions. Only Allow and AllowStale come with a backend.
const (
	Allow                Decision = iota // the call must end by the returned time
	AllowStale                           // without a lease, for an idempotent call: the table may be out of date
	RejectMigrating                      // the slot is migrating
	RejectLeaseExpired                   // without a lease, for a call that is not idempotent
	RejectUnassigned                     // no backend owns the slot
	RejectQuotaExhausted                 // the backend is warming up, and this member has no quota left for it
)

// Idempotency says whether a call may be executed more than once without harm.
type Idempotency bool

// The two kinds of calls.
const (
	NotIdempotent Idempotency = false
	Idempotent    Idempotency = true
)

// CallGate decides which calls one member may send, by its copy of the table and its lease on it. All times are by the
// member's clock. It is not safe for concurrent use.
type CallGate struct {
	table       *Table
	frozen      map[int]bool // migrating slots; at most MaxSlots, cleared by Activate
	leaseExpiry time.Duration
	quotas      map[string]*callQuota // by backend that is warming up; replaced by each grant
}

// callQuota is how many calls the member may still send to a backend, to end by expiry.
type callQuota struct {
	remaining int
	expiry    time.Duration
}

// NewCallGate returns the gate of a member that knows a table, and has no lease on it yet.
func NewCallGate(t *Table) *CallGate { return &CallGate{table: t, frozen: map[int]bool{}} }

// Table returns the table in use.
func (g *CallGate) Table() *Table { return g.table }

// Freeze rejects new calls on slots that are about to migrate. The member acknowledges the migration once it has no
// call in flight on any of them.
func (g *CallGate) Freeze(slots []int) {
	for _, slot := range slots {
		g.frozen[slot] = true
	}
}

// Activate puts a table in use, and unfreezes all slots.
func (g *CallGate) Activate(t *Table) {
	g.table = t
	clear(g.frozen)
}

// ExtendLease notes that an acknowledgement this member sent at a time is in the log: no later table becomes active
// without this member until the lease from that time on has expired. It never shortens the lease.
func (g *CallGate) ExtendLease(sentAt time.Duration, terms LeaseTerms) {
	g.leaseExpiry = max(g.leaseExpiry, sentAt+terms.usableDuration())
}

// SetQuotas replaces the quotas by those of a grant, by backend. They expire with the lease of the acknowledgements
// before the grant, so a member that was suspended or applies the log late cannot use an old grant.
func (g *CallGate) SetQuotas(calls map[string]int) {
	g.quotas = make(map[string]*callQuota, len(calls))
	for backend, n := range calls {
		g.quotas[backend] = &callQuota{remaining: n, expiry: g.leaseExpiry}
	}
}

// Admit decides about a call on a slot: the backend to call, when the call must have ended (0: no limit), and why not.
// Each Allow for a backend that is warming up uses one call of the quota.
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
