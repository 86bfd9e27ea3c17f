package configuration

// Command creates one version of the configuration. The replicated log carries it; it takes effect as a whole or not at all.
type Command struct {
	Base    Version // the version that the changes apply to
	Version Version // the version that it creates: the lease holder's token, and Base's counter plus one
	Changes []Change
}

// Store is the state machine that each control node feeds with the entries of the replicated log. The same sequence of calls
// produces the same state on every node.
type Store struct {
	state        *State
	history      history
	fencingToken uint64 // of the last lease that the log granted

	isFencingDisabled bool // set only by tests, which prove that their checks detect it
}

// NewStore returns a store with a state (Empty, or one from a snapshot) and the fencing token of the last lease granted by
// then.
func NewStore(s *State, fencingToken uint64) *Store {
	return &Store{state: s, fencingToken: max(fencingToken, s.version.Token)}
}

// State returns the active state.
func (s *Store) State() *State { return s.state }

// RaiseFence records the fencing token of a lease that the log has granted. From then on, commands with older tokens are
// rejected.
func (s *Store) RaiseFence(token uint64) { s.fencingToken = max(s.fencingToken, token) }

// Apply applies a committed command. An error is a *RejectionError; nothing has changed then.
func (s *Store) Apply(c Command) error {
	active := s.state.version
	if !s.isFencingDisabled && (c.Version.Token < s.fencingToken || c.Version.Compare(active) <= 0) {
		return reject(ReasonStale, "command for version %v, expected one after %v with fencing token %d or later",
			c.Version, active, s.fencingToken)
	}
	if !s.isFencingDisabled && (c.Base != active || c.Version.Counter != active.Counter+1) {
		return reject(ReasonBaseMismatch, "command for version %v based on %v, expected the next version based on %v",
			c.Version, c.Base, active)
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

// validate checks the content of a command, but not its versions.
func (s *Store) validate(c Command) error {
	if len(c.Changes) == 0 {
		return reject(ReasonNoEffect, "command without changes, expected at least one")
	}
	if size := encodedSize(c.Changes); len(c.Changes) > MaxChanges || size > MaxChangeBytes {
		return reject(ReasonLimitExceeded, "command with %d changes of %d bytes in total, expected at most %d changes and %d bytes",
			len(c.Changes), size, MaxChanges, MaxChangeBytes)
	}
	for _, change := range c.Changes {
		r := change.Resource
		if r.Version != c.Version {
			return reject(ReasonMalformed, "resource %q has version %v, expected the version %v of its command", r.Name, r.Version, c.Version)
		}
		if change.Removed && s.state.Get(r.Type, r.Name) == nil {
			return reject(ReasonNoEffect, "command removes resource %q, which does not exist", r.Name)
		}
	}
	return nil
}
