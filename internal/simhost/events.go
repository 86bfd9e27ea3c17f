package simhost

import (
	"time"

	"thymechute/internal/settingsjson"
	"thymechute/internal/wire"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// host is the policy.Host of one instance. It holds the instance's ids and the lines that it writes in this batch.
type host struct {
	id        uint64
	instance  *policy.Instance // nil: not configured, or killed
	server    settings.Server
	startedAt time.Duration
	now       time.Duration
	isActive  bool // it has an event in this batch
	out       []byte
	requests  requestIDs
}

// handle passes an event to the instance. Events of an instance that was not configured, or was killed, are ignored.
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

// configure starts an instance. Lines that it wrote earlier in this batch are dropped.
func (h *host) configure(m wire.Message) error {
	seed, err := m.Uint("init_seed")
	if err != nil {
		return err
	}
	text, _ := m.Text("info")
	parsed, _, err := settingsjson.Parse(text) // values out of their bounds count as missing here
	if err != nil {
		return m.FieldError("info", "a JSON object: "+err.Error())
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
	row, err := m.Numbers("server_stats")
	if err != nil {
		return err
	}
	busy, runnable := h.server.Gauges(row)
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

// outcomes are the outcomes of runs and calls by their words; any other word is policy.Unknown.
var outcomes = map[string]policy.Outcome{
	"ok":             policy.OK,
	"error":          policy.Failed,
	"full":           policy.Rejected,
	"timeout":        policy.TimedOut,
	"connect_failed": policy.ConnectFailed,
	"reset":          policy.Reset,
	"cancelled":      policy.Cancelled,
	"moot":           policy.NotStarted,
}

// handleRequestEvent passes on an event of an admitted request. Events of unknown requests are ignored.
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
	outcome := outcomes[disposition]
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

// admit passes on a request. One whose ticket is in use is ignored.
func (h *host) admit(m wire.Message) error {
	ticket, err := m.RequiredUint("ticket")
	if err != nil {
		return err
	}
	arrived, err := h.decodeRequest(m)
	if err != nil {
		return err
	}
	if _, isKnown := h.requests.byTicket[ticket]; isKnown {
		return nil
	}
	id := h.requests.assign(ticket)
	h.instance.Admit(h.sinceStart(), id, arrived)
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

// original returns the id of the request with the ticket, which a retry repeats. A ticket of 0 means none.
func (h *host) original(ticket uint64) policy.RequestID {
	if ticket == 0 {
		return policy.NoOriginal
	}
	if id, isKnown := h.requests.byTicket[ticket]; isKnown {
		return id
	}
	return policy.OriginalGone
}

// fieldDecoder decodes the fields of a message, and records the first error.
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
