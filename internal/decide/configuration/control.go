package configuration

import "time"

const (
	// maxConfirmationAge bounds the time since the last LogConfirmed: once it is exceeded, proposals are rejected.
	maxConfirmationAge = 2 * time.Second
	// proposalTimeout is the time after which a proposed command that was not applied counts as lost.
	proposalTimeout = 3 * time.Second
)

// Edit is a change that an operator requests. A rollback is an Edit with the previous body and makes a new version.
type Edit struct {
	Type    ResourceType
	Name    string
	Body    string
	Removed bool
}

// Lease is a control node's current view of the lease on the configuration duty.
type Lease struct {
	Token uint64 // fencing token
	Valid bool   // this control node holds it and it has not expired
}

// ControlNode serves the newest state to members. It proposes commands while it holds the lease, and applies what the
// replicated log commits; it never makes a version by itself.
type ControlNode struct {
	server
	store      *Store
	proposed   Version // of the command in flight
	proposedAt time.Duration
}

// NewControlNode makes the control node of a process that has just started with the store of its log snapshot.
func NewControlNode(now time.Duration, h Host, s *Store) *ControlNode {
	c := &ControlNode{store: s}
	c.server = server{
		host:        h,
		isControl:   true,
		state:       s.state,
		history:     &s.history,
		confirmedAt: now,
		limits:      controlLimits,
		limiter:     byteLimiter{slotLength: controlLimiterSlot, budget: controlBudgetBytes},
	}
	return c
}

// LeaseGranted records that the log has granted the lease to some control node, under a fencing token.
func (c *ControlNode) LeaseGranted(token uint64) { c.store.RaiseFence(token) }

// LogConfirmed records that this node has applied everything that the log's leader, with a quorum, had committed by now.
func (c *ControlNode) LogConfirmed(now time.Duration) { c.confirmedAt = now }

// Propose makes the command for edits, to be submitted to the log. The change is not active, and may still be lost, until
// Apply. Errors: a *RejectionError.
func (c *ControlNode) Propose(now time.Duration, lease Lease, edits []Edit) (Command, error) {
	if now-c.confirmedAt > maxConfirmationAge {
		return Command{}, reject(ReasonNoQuorum, "the log was last confirmed %v ago, expected at most %v", now-c.confirmedAt, maxConfirmationAge)
	}
	if !lease.Valid {
		return Command{}, reject(ReasonNotLeaseHolder, "token %d", lease.Token)
	}
	active := c.state.version
	if c.proposed.Compare(active) > 0 && now-c.proposedAt < proposalTimeout {
		return Command{}, reject(ReasonInFlight, "%v is in flight on %v", c.proposed, active)
	}
	command := Command{Base: active, Version: Version{Token: lease.Token, Counter: active.Counter + 1}}
	for _, e := range edits {
		r, err := NewResource(e.Type, e.Name, e.Body, command.Version)
		if err != nil {
			return Command{}, err
		}
		command.Changes = append(command.Changes, Change{Resource: r, Removed: e.Removed})
	}
	if err := c.store.validate(command); err != nil {
		return Command{}, err
	}
	c.proposed = command.Version
	c.proposedAt = now
	return command, nil
}

// Apply applies a command that the log has committed. Errors: a *RejectionError, and nothing has changed.
func (c *ControlNode) Apply(now time.Duration, command Command) error {
	if err := c.store.Apply(command); err != nil {
		c.Counters.Rejected++
		return err
	}
	c.state = c.store.state
	c.host.Activated(now, c.state)
	c.pushDeltas(now)
	return nil
}

// Receive handles a message from a member. Errors: a *RejectionError.
func (c *ControlNode) Receive(now time.Duration, from string, message Message) error {
	switch message.(type) {
	case Poll, DigestRequest, RepairRequest:
		c.handleRequest(now, from, message)
		return nil
	}
	c.Counters.Rejected++
	return reject(ReasonUnknownSender, "reply from %s", from)
}

// Tick drops silent children and sends what the byte budget has not allowed before. It must be called at least once per
// TickInterval.
func (c *ControlNode) Tick(now time.Duration) { c.tick(now) }
