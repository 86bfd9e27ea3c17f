package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// world is a few control machines over one log and a zone of members, with every message in one bag: what is lost, late,
// doubled, overtaken or altered is up to whoever calls. It judges by a model of its own: a map of bodies.
type world struct {
	now      time.Duration
	controls []*station
	members  []*station
	flight   []envelope
	proposed []configuration.Command
	log      []entry
	token    uint64 // granted last
	owner    int    // control machine that has it
	model    map[string]modelled
	truth    map[configuration.Version]uint64 // root of each version that was agreed
	last     configuration.Version
	chance   *rand.Rand
	edits    int

	staleTried, altered          int
	staleTaken, torn, back, lies int // must stay 0
}

// modelled is what the model has under a name.
type modelled struct {
	body    string
	version configuration.Version
}

type entry struct {
	grant   uint64 // 0: a command
	command configuration.Command
}

type envelope struct {
	from, to string
	m        configuration.Message
}

// station is one process, as its Host.
type station struct {
	name    string
	w       *world
	member  *configuration.Member
	control *configuration.Control
	store   *configuration.Store
	heard   int                    // entries of the log
	last    configuration.Version  // in force in this process
	kept    []*configuration.State // what it had in force, to start from
	tokens  uint64                 // the last it held: what it does without looking
	cut     bool
}

func (s *station) Send(to string, m configuration.Message) {
	if len(s.w.flight) < 400 {
		s.w.flight = append(s.w.flight, envelope{s.name, to, m})
	}
}

func (s *station) InForce(_ time.Duration, state *configuration.State) {
	if state.Version().Compare(s.last) <= 0 {
		s.w.back++
	}
	if root, agreed := s.w.truth[state.Version()]; !agreed || root != state.Root() {
		s.w.torn++
	}
	s.last = state.Version()
	s.kept = append(s.kept, state)
	if len(s.kept) > 6 {
		s.kept = s.kept[1:]
	}
}

func newWorld(seed uint64) *world {
	w := &world{model: map[string]modelled{}, truth: map[configuration.Version]uint64{}, chance: rand.New(rand.NewPCG(seed, 7)), token: 1}
	var zone []subset.Claim
	for n := range 8 {
		zone = append(zone, subset.Claim{Name: fmt.Sprint("m", n), Rank: n})
	}
	tree := configuration.Tree("z", zone, []string{"c0", "c1"})
	for n := range 2 {
		s := &station{name: fmt.Sprint("c", n), w: w, store: configuration.NewStore(configuration.Empty(), 1)}
		s.control = configuration.NewControl(0, s, s.store)
		w.controls = append(w.controls, s)
	}
	w.controls[0].tokens = 1
	for n := range 8 {
		s := &station{name: fmt.Sprint("m", n), w: w}
		s.member = configuration.NewMember(0, s, configuration.Empty(), 0, uint64(n))
		s.member.Place(0, tree[s.name])
		w.members = append(w.members, s)
	}
	return w
}

func (w *world) all() []*station { return append(slices.Clone(w.controls), w.members...) }

func (w *world) find(name string) *station {
	return w.all()[slices.IndexFunc(w.all(), func(s *station) bool { return s.name == name })]
}

func (w *world) advance(by time.Duration) {
	for end := w.now + by; w.now < end; {
		w.now += min(configuration.TickEvery, end-w.now)
		for _, s := range w.all() {
			if s.member != nil {
				s.member.Tick(w.now)
			} else {
				s.control.Tick(w.now)
			}
		}
	}
}

// edit is a change of one to four tenants, some of them taken away where they are there.
func (w *world) edit(in *configuration.State) (edits []configuration.Edit) {
	for n := range 1 + w.chance.IntN(4) {
		w.edits++
		e := configuration.Edit{Type: configuration.Tenant, Name: fmt.Sprint("t", n, "-", w.edits%10), Body: fmt.Sprint(w.edits)}
		if w.chance.IntN(4) == 0 && in.Get(e.Type, e.Name) != nil {
			e.Removed, e.Body = true, ""
		}
		edits = append(edits, e)
	}
	return edits
}

// submit lets a control machine make a command under the last token that it held, looking or not.
func (w *world) submit(s *station, looks bool) {
	s.control.Confirmed(w.now)
	holds := s.tokens > 0 && (!looks || s.tokens == w.token)
	if c, err := s.control.Submit(w.now, s.tokens, holds, w.edit(s.control.State())); err == nil {
		w.proposed = append(w.proposed, c)
		if s.tokens < w.token {
			w.staleTried++
		}
	}
}

// commit puts a proposal into the log, and the model judges it: its own rule, in its own words.
func (w *world) commit(n int) {
	c := w.proposed[n]
	w.proposed = slices.Delete(w.proposed, n, n+1)
	w.log = append(w.log, entry{command: c})
	if c.Version.Token < w.token || c.Version.Counter != w.last.Counter+1 || c.Base != w.last {
		return
	}
	w.last = c.Version
	var changes []configuration.Change
	for _, change := range c.Changes {
		r := change.Resource
		if w.model[r.Name] = (modelled{r.Body, c.Version}); change.Removed {
			delete(w.model, r.Name)
		}
	}
	for name, is := range w.model {
		r, err := configuration.NewResource(configuration.Tenant, name, is.body, is.version)
		if err != nil {
			panic(err)
		}
		changes = append(changes, configuration.Change{Resource: r})
	}
	anew, err := configuration.Empty().With(c.Version, changes)
	if err != nil {
		panic(err)
	}
	w.truth[c.Version] = anew.Root()
}

// grant gives the duty to a control machine, in the log.
func (w *world) grant(n int) {
	w.token++
	w.owner = n
	w.controls[n].tokens = w.token
	w.log = append(w.log, entry{grant: w.token})
}

// hear applies entries of the log.
func (w *world) hear(s *station, n int) {
	for ; n > 0 && s.heard < len(w.log); n-- {
		e := w.log[s.heard]
		s.heard++
		if e.grant > 0 {
			s.control.Granted(e.grant)
			continue
		}
		accepted := s.control.Applied(w.now, e.command) == nil
		if _, agreed := w.truth[e.command.Version]; accepted && !agreed {
			w.staleTaken++
		}
	}
}

// deliver hands over the n-th message by its bytes; altered ones have a body changed and a right checksum.
func (w *world) deliver(n int, alter bool) {
	e := w.flight[n]
	w.flight = slices.Delete(w.flight, n, n+1)
	from, to := w.find(e.from), w.find(e.to)
	if from.cut || to.cut {
		return
	}
	m := e.m
	if alter {
		m = w.alter(m)
	}
	decoded, err := configuration.Decode(configuration.Append(nil, m))
	if err != nil {
		w.lies++ // our own encoder's bytes
		return
	}
	if to.member != nil {
		_ = to.member.Received(w.now, e.from, decoded)
	} else {
		_ = to.control.Received(w.now, e.from, decoded)
	}
}

// alter is what a peer that lies would send in a message's place: another body, one change less, another version.
func (w *world) alter(m configuration.Message) configuration.Message {
	other := func(r *configuration.Resource) *configuration.Resource {
		lie, _ := configuration.NewResource(r.Type, r.Name, r.Body+"!", r.Version)
		return lie
	}
	switch m := m.(type) {
	case configuration.Delta:
		if len(m.Changes) == 0 {
			return m
		}
		w.altered++
		changes := slices.Clone(m.Changes)
		if n := w.chance.IntN(len(changes)); w.chance.IntN(2) == 0 {
			changes[n].Resource = other(changes[n].Resource)
		} else {
			changes = slices.Delete(changes, n, n+1)
		}
		m.Changes = changes
		return m
	case configuration.Fill:
		w.altered++
		fills := slices.Clone(m.Buckets)
		for n := range fills {
			if len(fills[n].Add) > 0 {
				fills[n].Add = append([]*configuration.Resource{other(fills[n].Add[0])}, fills[n].Add[1:]...)
			}
		}
		m.Buckets = fills
		return m
	case configuration.Head:
		w.altered++
		m.Version.Counter++
		return m
	}
	return m
}

// restart ends a process and starts it from what it kept: the newest, an older one, or nothing.
func (w *world) restart(s *station, kept int) {
	state := configuration.Empty()
	if kept < len(s.kept) {
		state = s.kept[kept]
	}
	s.last, s.cut = state.Version(), false
	if s.member != nil {
		zone := []subset.Claim{}
		for n := range w.members {
			zone = append(zone, subset.Claim{Name: fmt.Sprint("m", n), Rank: n})
		}
		s.member = configuration.NewMember(w.now, s, state, time.Minute, w.chance.Uint64())
		s.member.Place(w.now, configuration.Tree("z", zone, []string{"c0", "c1"})[s.name])
		return
	}
	s.store = configuration.NewStore(s.store.State(), 0) // its snapshot; the log's entries so far are in it
	for _, e := range w.log[:s.heard] {
		s.store.Fence(e.grant)
	}
	s.last = s.store.State().Version()
	s.control = configuration.NewControl(w.now, s, s.store)
}

// settle lets everything through for a while; then all must have the newest.
func (w *world) settle() error {
	for _, s := range w.all() {
		s.cut = false
	}
	for range 400 {
		w.advance(200 * time.Millisecond)
		for _, s := range w.controls {
			w.hear(s, len(w.log))
			s.control.Confirmed(w.now)
		}
		for len(w.flight) > 0 {
			w.deliver(0, false)
		}
	}
	for _, s := range w.all() {
		state := s.control
		if s.member != nil {
			if s.member.State().Version() != w.last || s.member.Age(w.now) > 10*time.Second {
				return fmt.Errorf("%s has %v of age %v, expected %v", s.name, s.member.State().Version(), s.member.Age(w.now), w.last)
			}
			continue
		}
		if state.State().Version() != w.last {
			return fmt.Errorf("%s has %v, expected %v", s.name, state.State().Version(), w.last)
		}
	}
	return w.check()
}

func (w *world) check() error {
	if w.staleTaken+w.torn+w.back+w.lies > 0 {
		return fmt.Errorf("%d stale taken, %d not as agreed, %d back, %d not decoded", w.staleTaken, w.torn, w.back, w.lies)
	}
	return nil
}
