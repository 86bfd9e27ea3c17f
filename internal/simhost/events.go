package simhost

import (
	"time"

	"thymechute/internal/settingsjson"
	"thymechute/internal/wire"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// host is the policy.Host of one instance. It maps the instance's request ids and collects the lines that the
// instance writes in the current batch.
type host struct {
	id        uint64
	instance  *policy.Instance // nil: not configured or killed
	server    settings.Server
	startedAt time.Duration // on the simulator's clock
	now       time.Duration // on the simulator's clock
	isActive  bool          // has an event in the current batch
	out       []byte
	requests  requestIDs
}

// handle passes an event to the instance. Events for an instance that is not configured or was killed are ignored.
func (h *host) handle(m wire.Message) error {
	switch m.Name {
	case "KILL":
		h.kill()
		return nil
	case "CONFIGURE":
		return h.configure(m)
	}
	if h.instance == nil {
		return nil
	}
	switch m.Name {
	case "REQ":
		return h.admit(m)
	case "ALARM":
		return h.tick(m)
	case "LAME_DUCK":
		return h.drain(m)
	case "WOUND_UP", "AWAITING", "RETURNED", "LAPSED":
		return h.handleRequestEvent(m)
	}
	return nil
}

func (h *host) kill() {
	h.instance = nil
	h.out = h.out[:0]
	h.requests = requestIDs{}
}

// configure starts a new instance. Lines that its predecessor wrote in the current batch are dropped.
func (h *host) configure(m wire.Message) error {
	seed, err := m.Uint("init_seed")
	if err != nil {
		return err
	}
	text, _ := m.Text("info")
	parsed, _, err := settingsjson.Parse(text) // out-of-range values are treated as missing
	if err != nil {
		return m.FieldError("info", "settings as a JSON object: "+err.Error())
	}
	h.server = parsed.Server
	h.startedAt = h.now
	h.out = h.out[:0]
	h.requests = newRequestIDs()
	h.instance = policy.New(h, seed, parsed)
	return nil
}

func (h *host) sinceStart() time.Duration { return h.now - h.startedAt }

func (h *host) tick(m wire.Message) error {
	gaugeValues, err := m.Numbers("server_stats")
	if err != nil {
		return err
	}
	busy, runnable := h.server.Gauges(gaugeValues)
	h.instance.Tick(h.sinceStart(), policy.Gauges{Busy: busy, Runnable: runnable})
	return nil
}

func (h *host) drain(m wire.Message) error {
	timeLeft, err := m.Seconds("budget_s")
	if err != nil {
		return err
	}
	h.instance.Drain(h.sinceStart(), timeLeft)
	return nil
}

// outcomeByDisposition maps the disposition of a run or call to its outcome; any other one is policy.Unknown.
var outcomeByDisposition = map[string]policy.Outcome{
	"ok":             policy.OK,
	"error":          policy.Failed,
	"full":           policy.Rejected,
	"timeout":        policy.TimedOut,
	"connect_failed": policy.ConnectFailed,
	"reset":          policy.Reset,
	"cancelled":      policy.Cancelled,
	"moot":           policy.NotStarted,
}

// handleRequestEvent passes an event of a request to the instance. Events of unknown requests are ignored.
func (h *host) handleRequestEvent(m wire.Message) error {
	ticket, err := m.RequiredUint("ticket")
	if err != nil {
		return err
	}
	took, err := m.Seconds("elapsed_s")
	if err != nil {
		return err
	}
	id, isKnown := h.requests.byTicket[ticket]
	if !isKnown {
		return nil
	}
	disposition, _ := m.Field("disposition")
	outcome := outcomeByDisposition[disposition]
	now := h.sinceStart()
	switch m.Name {
	case "WOUND_UP":
		h.instance.RunEnded(now, id, outcome, took)
	case "AWAITING":
		h.instance.CallRequested(now, id)
	case "RETURNED":
		h.instance.CallReturned(now, id, outcome, took)
	case "LAPSED":
		h.instance.CallerGone(now, id)
	}
	return nil
}

// admit passes a new request to the instance. A request whose ticket is in use is ignored.
func (h *host) admit(m wire.Message) error {
	ticket, err := m.RequiredUint("ticket")
	if err != nil {
		return err
	}
	request, err := h.decodeRequest(m)
	if err != nil {
		return err
	}
	if _, isKnown := h.requests.byTicket[ticket]; isKnown {
		return nil
	}
	id := h.requests.assign(ticket)
	h.instance.Admit(h.sinceStart(), id, request)
	return nil
}

func (h *host) decodeRequest(m wire.Message) (policy.Request, error) {
	fields := fieldDecoder{message: m}
	request := policy.Request{
		Class:         int(fields.uint("cls")),
		Tenant:        int(fields.uint("org")),
		Caller:        int(fields.uint("src")),
		Original:      h.original(fields.uint("dup_of")),
		ReadDelay:     fields.seconds("waited_s"),
		CallerTimeout: fields.seconds("budget_s"),
		CostHint:      fields.seconds("cost_s"),
		Priority:      fields.number("prio"),
		MemoryKB:      fields.number("size_kb"),
		IsRetry:       fields.bool("repeat"),
	}
	return request, fields.err
}

// original returns the id of the request that a retry repeats, by its ticket. Ticket 0 means no original.
func (h *host) original(ticket uint64) policy.RequestID {
	if ticket == 0 {
		return policy.NoOriginal
	}
	if id, isKnown := h.requests.byTicket[ticket]; isKnown {
		return id
	}
	return policy.OriginalGone
}

// fieldDecoder decodes the fields of a message and keeps the first error.
type fieldDecoder struct {
	message wire.Message
	err     error
}

func decodeField[T any](d *fieldDecoder, name string, decode func(string) (T, error)) T {
	value, err := decode(name)
	if d.err == nil {
		d.err = err
	}
	return value
}

func (d *fieldDecoder) uint(name string) uint64 { return decodeField(d, name, d.message.Uint) }

func (d *fieldDecoder) seconds(name string) time.Duration {
	return decodeField(d, name, d.message.Seconds)
}

func (d *fieldDecoder) number(name string) float64 { return decodeField(d, name, d.message.Number) }

func (d *fieldDecoder) bool(name string) bool { return decodeField(d, name, d.message.Bool) }
