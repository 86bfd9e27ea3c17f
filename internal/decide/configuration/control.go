// This file owns a control machine's part: what it takes from operators while it holds the duty, what it takes from the
// agreed log, and what it serves. It must never make a version by itself: only the log's entries do.

package configuration

import "time"

const (
	quorumLimit = 2 * time.Second // since the log was last confirmed, within which a change is taken
	submitLimit = 3 * time.Second // after which one that the log hasn't given back counts as lost
)

// Edit is what an operator asks for. To go back is an Edit with the old body: a new version.
type Edit struct {
	Type    Type
	Name    string
	Body    string
	Removed bool
}

// Control is one control machine.
type Control struct {
	server
	store    *Store
	issued   Version // of the command in flight
	issuedAt time.Duration
}

// NewControl is of a machine that has just started, with what its snapshot of the log gives.
func NewControl(now time.Duration, h Host, s *Store) *Control {
	c := &Control{store: s}
	c.server = server{host: h, control: true, state: s.state, history: &s.history, fresh: now, mostChild: MostControlChildren,
		pace: Pace{Bin: controlBin, Budget: controlBudget}}
	return c
}

// Granted: the log has given the duty to some machine, under a token.
func (c *Control) Granted(token uint64) { c.store.Fence(token) }

// Confirmed: this machine has applied all that the log's leader, with a quorum behind it, had agreed at that time.
func (c *Control) Confirmed(now time.Duration) { c.fresh = now }

// Submit makes the command of a change, for the log. token and holds are the duty's, as this machine knows it now. The
// change is not in force, and may be lost, until Applied. Errors: a *Refusal.
func (c *Control) Submit(now time.Duration, token uint64, holds bool, edits []Edit) (Command, error) {
	if now-c.fresh > quorumLimit {
		return Command{}, refuse(NoQuorum, "the log was last confirmed %v ago", now-c.fresh)
	}
	if !holds {
		return Command{}, refuse(NotOwner, "token %d", token)
	}
	in := c.state.version
	if c.issued.Compare(in) > 0 && now-c.issuedAt < submitLimit {
		return Command{}, refuse(InFlight, "%v is in flight on %v", c.issued, in)
	}
	command := Command{Base: in, Version: Version{Token: token, Counter: in.Counter + 1}}
	for _, e := range edits {
		r, err := NewResource(e.Type, e.Name, e.Body, command.Version)
		if err != nil {
			return Command{}, err
		}
		command.Changes = append(command.Changes, Change{Resource: r, Removed: e.Removed})
	}
	if err := c.store.check(command); err != nil {
		return Command{}, err
	}
	c.issued, c.issuedAt = command.Version, now
	return command, nil
}

// Applied takes a command that the log has agreed. Errors: a *Refusal, and nothing has changed.
func (c *Control) Applied(now time.Duration, command Command) error {
	if err := c.store.Apply(command); err != nil {
		c.Counts.Refused++
		return err
	}
	c.state = c.store.state
	c.host.InForce(now, c.state)
	c.push(now)
	return nil
}

// Received takes a message of a member. Errors: a *Refusal.
func (c *Control) Received(now time.Duration, from string, message Message) error {
	switch message.(type) {
	case Hello, Sums, Buckets:
		c.ask(now, from, message)
		return nil
	}
	c.Counts.Refused++
	return refuse(Stranger, "answer of %s", from)
}

// Tick comes at least every TickEvery.
func (c *Control) Tick(now time.Duration) { c.tick(now) }
