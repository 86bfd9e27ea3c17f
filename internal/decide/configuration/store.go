package configuration

// Command is one change of configuration as the replicated log carries it. It takes effect as a whole or not at all.
type Command struct {
	Base    Version // the version that it was made on
	Version Version // the version that it makes: the lease holder's token, and the counter one over Base's
	Changes []Change
}

// Store is the state machine that the replicated log drives on each control node. The same sequence of calls gives the same
// state on every node.
type Store struct {
	state        *State
	history      history
	fencingToken uint64 // of the last lease that the log has granted

	isFencingDisabled bool // set by tests alone, to prove that their checks detect it
}

// NewStore makes a store from a state (Empty, or that of a snapshot) and the fencing token granted last by then.
func NewStore(s *State, fencingToken uint64) *Store {
	return &Store{state: s, fencingToken: max(fencingToken, s.version.Token)}
}

// State returns the active state.
func (s *Store) State() *State { return s.state }

// RaiseFence records the fencing token of a lease that the log has granted: commands under older tokens are rejected from now
// on.
func (s *Store) RaiseFence(token uint64) { s.fencingToken = max(s.fencingToken, token) }

// Apply applies a committed command. Errors: a *RejectionError, and nothing has changed.
func (s *Store) Apply(c Command) error {
	active := s.state.version
	if !s.isFencingDisabled && (c.Version.Token < s.fencingToken || c.Version.Compare(active) <= 0) {
		return reject(ReasonStale, "version %v, expected one after %v with token %d or later", c.Version, active, s.fencingToken)
	}
	if !s.isFencingDisabled && (c.Base != active || c.Version.Counter != active.Counter+1) {
		return reject(ReasonBaseMismatch, "version %v on %v, expected the one after %v", c.Version, c.Base, active)
	}
	if err := s.validate(c); err != nil {
		return err
	}
	next, err := s.state.With(c.Version, c.Changes)
	if err != nil {
		return err
	}
	s.history.add(active, c.Version, c.Changes)
	s.state = next
	return nil
}

// validate checks a command's content, apart from its place in the order.
func (s *Store) validate(c Command) error {
	if len(c.Changes) == 0 {
		return reject(ReasonNoEffect, "no changes")
	}
	if size := encodedSize(c.Changes); len(c.Changes) > MaxChanges || size > MaxChangeBytes {
		return reject(ReasonLimitExceeded, "%d changes of %d bytes, expected at most %d of %d",
			len(c.Changes), size, MaxChanges, MaxChangeBytes)
	}
	for _, change := range c.Changes {
		r := change.Resource
		if r.Version != c.Version {
			return reject(ReasonMalformed, "resource %q at version %v, expected %v", r.Name, r.Version, c.Version)
		}
		if change.Removed && s.state.Get(r.Type, r.Name) == nil {
			return reject(ReasonNoEffect, "resource %q removed, but it does not exist", r.Name)
		}
	}
	return nil
}
