package configuration

import "time"

const (
	// maxConfirmationAge is the longest time since the last LogConfirmed at which proposals are still accepted.
	maxConfirmationAge = 2 * time.Second
	// proposalTimeout is the time after which a proposed command that has not been applied is considered lost.
	proposalTimeout = 3 * time.Second
)

// Edit is a change that an operator requests. A rollback is an Edit with the previous body, and creates a new version.
type Edit struct {
	Type    ResourceType
	Name    string
	Body    string
	Removed bool
}

// Lease is what a control node currently knows of the lease on the configuration duty.
type Lease struct {
	Token uint64 // fencing token
	Valid bool   // this control node holds the lease, and it has not expired
}

// ControlNode serves the newest state to members. It proposes commands while it holds the lease, and applies the commands that
// the replicated log commits; a version never becomes active before its command is committed.
type ControlNode struct {
	server
	store           *Store
	proposedVersion Version // version of the last proposed command
	proposedAt      time.Duration
}

// NewControlNode returns the control node of a process that has just started, with the store from its log snapshot.
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

// LeaseGranted records that the log has granted the lease, to this or another control node, with a fencing token.
func (c *ControlNode) LeaseGranted(token uint64) { c.store.RaiseFence(token) }

// LogConfirmed records that this node has applied everything that the log's leader, backed by a quorum, has committed by now.
func (c *ControlNode) LogConfirmed(now time.Duration) { c.confirmedAt = now }

// Propose returns the command for edits, which the caller submits to the log. Until Apply the change is not active and may
// still be lost. An error is a *RejectionError.
func (c *ControlNode) Propose(now time.Duration, lease Lease, edits []Edit) (Command, error) {
	if now-c.confirmedAt > maxConfirmationAge {
		return Command{}, reject(ReasonNoQuorum, "the replicated log was last confirmed %v ago, expected at most %v",
			now-c.confirmedAt, maxConfirmationAge)
	}
	if !lease.Valid {
		return Command{}, reject(ReasonNotLeaseHolder, "proposal with fencing token %d, whose lease is not held or has expired", lease.Token)
	}
	active := c.state.version
	if c.proposedVersion.Compare(active) > 0 && now-c.proposedAt < proposalTimeout {
		return Command{}, reject(ReasonInFlight, "version %v was proposed and is not applied yet, the active version is %v",
			c.proposedVersion, active)
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
	c.proposedVersion = command.Version
	c.proposedAt = now
	return command, nil
}

// Apply applies a command that the log has committed. An error is a *RejectionError; nothing has changed then.
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

// Receive handles a message from a member. An error is a *RejectionError.
func (c *ControlNode) Receive(now time.Duration, from string, message Message) error {
	switch message.(type) {
	case Poll, DigestRequest, RepairRequest:
		c.handleRequest(now, from, message)
		return nil
	}
	c.Counters.Rejected++
	return reject(ReasonUnknownSender, "reply from %q, expected none as a control node polls no source", from)
}

// Tick drops silent children and sends the deltas that the byte budget did not allow earlier. It must be called at least once
// per TickInterval.
func (c *ControlNode) Tick(now time.Duration) { c.tick(now) }
