// This file owns what the agreed log's entries make of the configuration: the one place where a version begins. It must
// give the same outcome for the same entries in every control machine.

package configuration

// Command is one change of configuration as the agreed log carries it: all its changes or none.
type Command struct {
	Base    Version // the version it was made on
	Version Version // the version it makes: its owner's token, and the counter one over Base's
	Changes []Change
}

// Store is a control machine's copy, driven by the log.
type Store struct {
	state   *State
	history History
	fence   uint64 // token of the last owner that the log has granted
}

// NewStore is of a state (Empty, or that of a snapshot) and the token granted last with it.
func NewStore(s *State, fence uint64) *Store {
	return &Store{state: s, fence: max(fence, s.version.Token)}
}

// State that is in force.
func (s *Store) State() *State { return s.state }

// Fence says that the log has granted the duty under a token: from here on none older is taken.
func (s *Store) Fence(token uint64) { s.fence = max(s.fence, token) }

// Apply takes a command of the log. Errors: a *Refusal, and nothing has changed.
func (s *Store) Apply(c Command) error {
	in := s.state.version
	if !unfenced && (c.Version.Token < s.fence || c.Version.Compare(in) <= 0) {
		return refuse(Stale, "version %v under token %d, in force %v", c.Version, s.fence, in)
	}
	if !unfenced && (c.Base != in || c.Version.Counter != in.Counter+1) {
		return refuse(WrongBase, "version %v on %v, in force %v", c.Version, c.Base, in)
	}
	if err := s.check(c); err != nil {
		return err
	}
	next, err := s.state.With(c.Version, c.Changes)
	if err != nil {
		return err
	}
	s.history.add(in, c.Version, c.Changes)
	s.state = next
	return nil
}

// check is of what a command asks for, apart from its place in the order.
func (s *Store) check(c Command) error {
	if len(c.Changes) == 0 {
		return refuse(Missing, "no changes")
	}
	if size := sizeOf(c.Changes); len(c.Changes) > MostChanges || size > MostChangeBytes {
		return refuse(OverBound, "%d changes, %d bytes", len(c.Changes), size)
	}
	for _, change := range c.Changes {
		r := change.Resource
		if r.Version != c.Version {
			return refuse(Malformed, "%q at %v in a command of %v", r.Name, r.Version, c.Version)
		}
		if change.Removed && s.state.Get(r.Type, r.Name) == nil {
			return refuse(Missing, "%q removed, but there is none", r.Name)
		}
	}
	return nil
}

// The guards that the tests' mutation runs alone take out: with any of them set, a check must fail.
var (
	unfenced  bool // older tokens and versions are taken
	torn      bool // what came of a version so far is put in force
	unchecked bool // no digest is compared
)
