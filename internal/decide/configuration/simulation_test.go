package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// simulation simulates two control nodes with one replicated log, and a zone of members. All messages in flight are in one list,
// and the caller decides which are lost, delayed, duplicated, reordered or corrupted. The nodes' states are checked against a
// model: a map from resource names to bodies and versions.
type simulation struct {
	now            time.Duration
	controls       []*testNode
	members        []*testNode
	inFlight       []envelope
	proposed       []configuration.Command
	log            []logEntry
	token          uint64                           // fencing token of the last lease that was granted
	leaseHolder    int                              // index of the control node that holds that lease
	expected       map[string]expectedResource      // the model, by resource name
	committedRoots map[configuration.Version]uint64 // root digest of each version that was validly committed
	lastCommitted  configuration.Version
	random         *rand.Rand
	editCount      int
	onStart        startHooks

	staleProposed, corruptedCount                        int
	staleAccepted, inconsistent, rolledBack, undecodable int // must stay 0
}

// startHooks are called with each store and each member when it starts. Either may be nil.
type startHooks struct {
	store  func(*configuration.Store)
	member func(*configuration.Member)
}

// expectedResource is a resource of the model.
type expectedResource struct {
	body    string
	version configuration.Version
}

// proposeMode tells whether a control node checks its lease before it proposes.
type proposeMode int

const (
	withLeaseCheck proposeMode = iota
	withoutLeaseCheck
)

// deliverMode tells whether a message is corrupted before delivery.
type deliverMode int

const (
	intact deliverMode = iota
	corrupted
)

type logEntry struct {
	grantedToken uint64 // fencing token of a granted lease; 0 if the entry is a command
	command      configuration.Command
}

type envelope struct {
	from, to string
	message  configuration.Message
}

// testNode is a member or control node, and its Host.
type testNode struct {
	name           string
	simulation     *simulation
	member         *configuration.Member
	control        *configuration.ControlNode
	store          *configuration.Store
	appliedEntries int // number of log entries applied
	activeVersion  configuration.Version
	snapshots      []*configuration.State // its last activated states, for restarts
	token          uint64                 // fencing token of the last lease that it held
	isPartitioned  bool
}

func (node *testNode) Send(to string, m configuration.Message) {
	if len(node.simulation.inFlight) < 400 {
		node.simulation.inFlight = append(node.simulation.inFlight, envelope{node.name, to, m})
	}
}

func (node *testNode) Activated(_ time.Duration, state *configuration.State) {
	if state.Version().Compare(node.activeVersion) <= 0 {
		node.simulation.rolledBack++
	}
	if root, committed := node.simulation.committedRoots[state.Version()]; !committed || root != state.Root() {
		node.simulation.inconsistent++
	}
	node.activeVersion = state.Version()
	node.snapshots = append(node.snapshots, state)
	if len(node.snapshots) > 6 {
		node.snapshots = node.snapshots[1:]
	}
}

func newSimulation(seed uint64, onStart startHooks) *simulation {
	sim := &simulation{
		expected:       map[string]expectedResource{},
		committedRoots: map[configuration.Version]uint64{},
		random:         rand.New(rand.NewPCG(seed, 7)),
		token:          1,
		onStart:        onStart,
	}
	var zone []subset.Claim
	for n := range 8 {
		zone = append(zone, subset.Claim{Name: fmt.Sprint("m", n), Rank: n})
	}
	tree := configuration.DistributionTree("z", zone, []string{"c0", "c1"})
	for n := range 2 {
		node := &testNode{name: fmt.Sprint("c", n), simulation: sim, store: sim.newStore(configuration.Empty(), 1)}
		node.control = configuration.NewControlNode(0, node, node.store)
		sim.controls = append(sim.controls, node)
	}
	sim.controls[0].token = 1
	for n := range 8 {
		node := &testNode{name: fmt.Sprint("m", n), simulation: sim}
		node.member = sim.newMember(node, configuration.Empty(), 0, uint64(n))
		node.member.SetSources(0, tree[node.name])
		sim.members = append(sim.members, node)
	}
	return sim
}

// newStore returns the store of a control node that starts, after its hook.
func (sim *simulation) newStore(s *configuration.State, fencingToken uint64) *configuration.Store {
	store := configuration.NewStore(s, fencingToken)
	if sim.onStart.store != nil {
		sim.onStart.store(store)
	}
	return store
}

// newMember returns the member of a process that starts now with a state of the given age, after its hook.
func (sim *simulation) newMember(node *testNode, s *configuration.State, age time.Duration, seed uint64) *configuration.Member {
	member := configuration.NewMember(sim.now, node, s, age, seed)
	if sim.onStart.member != nil {
		sim.onStart.member(member)
	}
	return member
}

func (sim *simulation) nodes() []*testNode { return append(slices.Clone(sim.controls), sim.members...) }

func (sim *simulation) findNode(name string) *testNode {
	return sim.nodes()[slices.IndexFunc(sim.nodes(), func(node *testNode) bool { return node.name == name })]
}

func (sim *simulation) advance(by time.Duration) {
	for end := sim.now + by; sim.now < end; {
		sim.now += min(configuration.TickInterval, end-sim.now)
		for _, node := range sim.nodes() {
			if node.member != nil {
				node.member.Tick(sim.now)
			} else {
				node.control.Tick(sim.now)
			}
		}
	}
}

// randomEdits returns edits that put one to four tenants, or remove some of them if they exist in a state.
func (sim *simulation) randomEdits(in *configuration.State) (edits []configuration.Edit) {
	for n := range 1 + sim.random.IntN(4) {
		sim.editCount++
		e := configuration.Edit{Type: configuration.Tenant, Name: fmt.Sprint("t", n, "-", sim.editCount%10), Body: fmt.Sprint(sim.editCount)}
		if sim.random.IntN(4) == 0 && in.Get(e.Type, e.Name) != nil {
			e.Removed, e.Body = true, ""
		}
		edits = append(edits, e)
	}
	return edits
}

// propose makes a control node propose random edits with the last lease that it held. Depending on the mode, it proposes even if
// another node holds the lease now.
func (sim *simulation) propose(node *testNode, mode proposeMode) {
	node.control.LogConfirmed(sim.now)
	isValid := node.token > 0 && (mode == withoutLeaseCheck || node.token == sim.token)
	lease := configuration.Lease{Token: node.token, Valid: isValid}
	if c, err := node.control.Propose(sim.now, lease, sim.randomEdits(node.control.State())); err == nil {
		sim.proposed = append(sim.proposed, c)
		if node.token < sim.token {
			sim.staleProposed++
		}
	}
}

// commit appends a proposal to the log. If it is valid by the model's own rules, it also applies it to the model and records the
// root digest of a state rebuilt from the model.
func (sim *simulation) commit(n int) {
	c := sim.proposed[n]
	sim.proposed = slices.Delete(sim.proposed, n, n+1)
	sim.log = append(sim.log, logEntry{command: c})
	if c.Version.Token < sim.token || c.Version.Counter != sim.lastCommitted.Counter+1 || c.Base != sim.lastCommitted {
		return
	}
	sim.lastCommitted = c.Version
	var changes []configuration.Change
	for _, change := range c.Changes {
		r := change.Resource
		if sim.expected[r.Name] = (expectedResource{r.Body, c.Version}); change.Removed {
			delete(sim.expected, r.Name)
		}
	}
	for name, r := range sim.expected {
		r, err := configuration.NewResource(configuration.Tenant, name, r.body, r.version)
		if err != nil {
			panic(err)
		}
		changes = append(changes, configuration.Change{Resource: r})
	}
	rebuilt, err := configuration.Empty().With(c.Version, changes)
	if err != nil {
		panic(err)
	}
	sim.committedRoots[c.Version] = rebuilt.Root()
}

// grantLease appends a grant of the lease to a control node to the log.
func (sim *simulation) grantLease(n int) {
	sim.token++
	sim.leaseHolder = n
	sim.controls[n].token = sim.token
	sim.log = append(sim.log, logEntry{grantedToken: sim.token})
}

// applyEntries applies up to n further entries of the log to a control node.
func (sim *simulation) applyEntries(node *testNode, n int) {
	for ; n > 0 && node.appliedEntries < len(sim.log); n-- {
		e := sim.log[node.appliedEntries]
		node.appliedEntries++
		if e.grantedToken > 0 {
			node.control.LeaseGranted(e.grantedToken)
			continue
		}
		accepted := node.control.Apply(sim.now, e.command) == nil
		if _, committed := sim.committedRoots[e.command.Version]; accepted && !committed {
			sim.staleAccepted++
		}
	}
}

// deliver encodes, decodes and delivers the n-th message in flight. A corrupted message has a valid checksum.
func (sim *simulation) deliver(n int, mode deliverMode) {
	e := sim.inFlight[n]
	sim.inFlight = slices.Delete(sim.inFlight, n, n+1)
	from, to := sim.findNode(e.from), sim.findNode(e.to)
	if from.isPartitioned || to.isPartitioned {
		return
	}
	m := e.message
	if mode == corrupted {
		m = sim.corrupt(m)
	}
	decoded, err := configuration.DecodeMessage(configuration.AppendMessage(nil, m))
	if err != nil {
		sim.undecodable++ // the bytes come from the package's own encoder
		return
	}
	if to.member != nil {
		_ = to.member.Receive(sim.now, e.from, decoded)
	} else {
		_ = to.control.Receive(sim.now, e.from, decoded)
	}
}

// corrupt returns what a Byzantine peer might send instead of a message: another body, one change fewer, another version.
func (sim *simulation) corrupt(m configuration.Message) configuration.Message {
	withOtherBody := func(r *configuration.Resource) *configuration.Resource {
		replaced, _ := configuration.NewResource(r.Type, r.Name, r.Body+"!", r.Version)
		return replaced
	}
	switch m := m.(type) {
	case configuration.Delta:
		if len(m.Changes) == 0 {
			return m
		}
		sim.corruptedCount++
		changes := slices.Clone(m.Changes)
		if n := sim.random.IntN(len(changes)); sim.random.IntN(2) == 0 {
			changes[n].Resource = withOtherBody(changes[n].Resource)
		} else {
			changes = slices.Delete(changes, n, n+1)
		}
		m.Changes = changes
		return m
	case configuration.RepairReply:
		sim.corruptedCount++
		repairs := slices.Clone(m.Buckets)
		for n := range repairs {
			if len(repairs[n].Add) > 0 {
				repairs[n].Add = append([]*configuration.Resource{withOtherBody(repairs[n].Add[0])}, repairs[n].Add[1:]...)
			}
		}
		m.Buckets = repairs
		return m
	case configuration.PollReply:
		sim.corruptedCount++
		m.Version.Counter++
		return m
	}
	return m
}

// restart restarts a process from one of its snapshots, or with an empty state if there is none with that index.
func (sim *simulation) restart(node *testNode, snapshot int) {
	state := configuration.Empty()
	if snapshot < len(node.snapshots) {
		state = node.snapshots[snapshot]
	}
	node.activeVersion, node.isPartitioned = state.Version(), false
	if node.member != nil {
		zone := []subset.Claim{}
		for n := range sim.members {
			zone = append(zone, subset.Claim{Name: fmt.Sprint("m", n), Rank: n})
		}
		node.member = sim.newMember(node, state, time.Minute, sim.random.Uint64())
		node.member.SetSources(sim.now, configuration.DistributionTree("z", zone, []string{"c0", "c1"})[node.name])
		return
	}
	node.store = sim.newStore(node.store.State(), 0) // its log snapshot contains all entries that it applied
	for _, e := range sim.log[:node.appliedEntries] {
		node.store.RaiseFence(e.grantedToken)
	}
	node.activeVersion = node.store.State().Version()
	node.control = configuration.NewControlNode(sim.now, node, node.store)
}

// settle delivers all messages and log entries for 80 simulated seconds, then checks that all nodes have the newest version.
func (sim *simulation) settle() error {
	for _, node := range sim.nodes() {
		node.isPartitioned = false
	}
	for range 400 {
		sim.advance(200 * time.Millisecond)
		for _, node := range sim.controls {
			sim.applyEntries(node, len(sim.log))
			node.control.LogConfirmed(sim.now)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0, intact)
		}
	}
	for _, node := range sim.members {
		if node.member.State().Version() != sim.lastCommitted || node.member.Age(sim.now) > 10*time.Second {
			return fmt.Errorf("%s has version %v of age %v, expected version %v of at most 10 s",
				node.name, node.member.State().Version(), node.member.Age(sim.now), sim.lastCommitted)
		}
	}
	for _, node := range sim.controls {
		if node.control.State().Version() != sim.lastCommitted {
			return fmt.Errorf("%s has version %v, expected %v", node.name, node.control.State().Version(), sim.lastCommitted)
		}
	}
	return sim.check()
}

// check returns an error if an invariant has been violated.
func (sim *simulation) check() error {
	if sim.staleAccepted+sim.inconsistent+sim.rolledBack+sim.undecodable > 0 {
		return fmt.Errorf("%d stale commands accepted, %d inconsistent states, %d states rolled back, %d undecodable messages, expected none",
			sim.staleAccepted, sim.inconsistent, sim.rolledBack, sim.undecodable)
	}
	return nil
}
