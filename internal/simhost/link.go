// Package simhost hosts many instances of the decision module on the bench's wire: it decodes
// events into calls of the module, maps ids to small indices and encodes what the module does.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"thymechute/internal/settingsjson"
	"thymechute/internal/wire"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{lines: wire.NewReader(in), out: bufio.NewWriterSize(out, 1<<20), hosts: map[uint64]*host{}}
	for {
		m, err := s.lines.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if m.Name != "BEGIN_BATCH" {
			return m.Bad("name", "BEGIN_BATCH outside of a batch")
		}
		moment, err := m.Seconds("moment_s", true)
		if err != nil {
			return err
		}
		if err := s.batch(moment); err != nil {
			return err
		}
	}
}

type server struct {
	lines   *wire.Reader
	out     *bufio.Writer
	hosts   map[uint64]*host
	touched []*host // hosts with an event in this batch, in order
}

func (s *server) batch(moment time.Duration) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = s.fault(fmt.Sprint(p))
		}
	}()
	s.touched = s.touched[:0]
	var h *host
	for {
		m, err := s.lines.Next()
		if err == io.EOF {
			return &wire.Error{Field: "end of input", Want: "EOF_BATCH first: the batch is cut off"}
		}
		if err != nil {
			return err
		}
		switch m.Name {
		case "EOF_BATCH":
			return s.reply(moment)
		case "BEGIN_BATCH":
			return m.Bad("name", "EOF_BATCH before the next batch")
		case "FOR":
			id, err := m.Int("instance", true)
			if err != nil {
				return err
			}
			if h = s.hosts[id]; h == nil {
				h = &host{id: id}
				s.hosts[id] = h
			}
			if !h.touched {
				h.touched = true
				s.touched = append(s.touched, h)
			}
		default:
			if h == nil {
				return m.Bad("name", "FOR before the first event of a batch")
			}
			h.now = moment
			if err := h.event(m); err != nil {
				return err
			}
		}
	}
}

func (s *server) reply(moment time.Duration) error {
	for _, h := range s.touched {
		h.touched = false
		if h.mod == nil {
			delete(s.hosts, h.id)
			continue
		}
		h.now = moment
		h.mod.Dispatch(moment - h.start)
		if len(h.out) > 0 {
			s.out.Write(wire.Line(nil, "ON_BEHALF", "instance", h.id))
			s.out.Write(h.out)
			h.out = h.out[:0]
		}
	}
	s.out.WriteString("FINISHED\n")
	return s.out.Flush()
}

// fault tells the bench that the module has panicked, and ends the work.
func (s *server) fault(cause string) error {
	if len(s.touched) > 0 {
		s.out.Write(wire.Line(nil, "ON_BEHALF", "instance", s.touched[0].id))
	}
	s.out.Write(wire.Line(nil, "INTERNAL_ERROR", "text", cause))
	s.out.WriteString("FINISHED\n")
	return errors.Join(errors.New("decision module: "+cause), s.out.Flush())
}

// host is one instance: its ids, and the lines it writes in this batch.
type host struct {
	id         uint64
	mod        *policy.Instance
	start, now time.Duration
	touched    bool
	out        []byte
	index      map[uint64]policy.RequestID // ticket to index; emptied by Release
	ticket     []uint64                    // index to ticket
	spare      []policy.RequestID          // indices free for use
	server     settings.Server
}

func (h *host) event(m wire.Message) error {
	switch m.Name {
	case "KILL":
		h.mod, h.out, h.index, h.ticket, h.spare = nil, h.out[:0], nil, nil, nil
		return nil
	case "CONFIGURE":
		return h.configure(m)
	}
	if h.mod == nil {
		return nil // nothing is owed to an instance that is not there
	}
	now := h.now - h.start
	switch m.Name {
	case "REQ":
		return h.read(m, now)
	case "ALARM":
		row, err := m.Row("server_stats")
		if err != nil {
			return err
		}
		busy, runnable := h.server.Gauges(row)
		h.mod.Tick(now, policy.Gauges{Busy: busy, Runnable: runnable})
	case "LAME_DUCK":
		left, err := m.Seconds("budget_s", false)
		if err != nil {
			return err
		}
		h.mod.Drain(now, left)
	case "WOUND_UP", "AWAITING", "RETURNED", "LAPSED":
		id, err := m.Int("ticket", true)
		if err != nil {
			return err
		}
		took, err := m.Seconds("elapsed_s", false)
		if err != nil {
			return err
		}
		w, known := h.index[id]
		if !known {
			return nil
		}
		word, _ := m.Field("disposition")
		switch m.Name {
		case "WOUND_UP":
			h.mod.RunEnded(now, w, outcomes[word], took)
		case "AWAITING":
			h.mod.CallRequested(now, w)
		case "RETURNED":
			h.mod.CallReturned(now, w, outcomes[word], took)
		case "LAPSED":
			h.mod.CallerGone(now, w)
		}
	}
	return nil
}

var outcomes = map[string]policy.Outcome{
	"ok": policy.OK, "error": policy.Failed, "full": policy.Rejected, "timeout": policy.TimedOut,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset,
	"cancelled": policy.Cancelled, "moot": policy.NotStarted,
}

func (h *host) read(m wire.Message, now time.Duration) error {
	var errs [9]error
	id, err := m.Int("ticket", true)
	if err != nil {
		return err
	}
	var w policy.Request
	var n [4]uint64
	n[0], errs[0] = m.Int("cls", false)
	n[1], errs[1] = m.Int("org", false)
	n[2], errs[2] = m.Int("src", false)
	n[3], errs[3] = m.Int("dup_of", false)
	w.ReadDelay, errs[4] = m.Seconds("waited_s", false)
	w.CallerTimeout, errs[5] = m.Seconds("budget_s", false)
	w.CostHint, errs[6] = m.Seconds("cost_s", false)
	w.Priority, errs[7] = m.Number("prio")
	w.MemoryKB, errs[8] = m.Number("size_kb")
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	if w.Retry, err = m.Bool("repeat"); err != nil {
		return err
	}
	w.Class, w.Tenant, w.Caller = int(n[0]), int(n[1]), int(n[2])
	w.Original = policy.NoOriginal
	if n[3] != 0 {
		w.Original = policy.OriginalGone
		if first, ok := h.index[n[3]]; ok {
			w.Original = first
		}
	}
	if _, twice := h.index[id]; twice {
		return nil
	}
	var at policy.RequestID
	if k := len(h.spare); k > 0 {
		at, h.spare = h.spare[k-1], h.spare[:k-1]
		h.ticket[at] = id
	} else {
		at = policy.RequestID(len(h.ticket))
		h.ticket = append(h.ticket, id)
	}
	h.index[id] = at
	h.mod.Admit(now, at, w)
	return nil
}

func (h *host) configure(m wire.Message) error {
	seed, err := m.Int("init_seed", false)
	if err != nil {
		return err
	}
	text, _ := m.Text("info")
	info, _, err := settingsjson.Parse(text) // what can't be meant is missing here
	if err != nil {
		return m.Bad("info", "a JSON object: "+err.Error())
	}
	h.server = info.Server
	h.start, h.out, h.index, h.ticket, h.spare = h.now, h.out[:0], map[uint64]policy.RequestID{}, nil, nil
	h.mod = policy.New(h, seed, info)
	return nil
}

func (h *host) say(name string, pairs ...any) { h.out = wire.Line(h.out, name, pairs...) }

func (h *host) Start(w policy.RequestID)     { h.say("RUN", "ticket", h.ticket[w]) }
func (h *host) Stop(w policy.RequestID)      { h.say("TAKE_OFF", "ticket", h.ticket[w]) }
func (h *host) Fail(w policy.RequestID)      { h.say("ERROR", "ticket", h.ticket[w]) }
func (h *host) SkipCall(w policy.RequestID)  { h.say("OMIT", "ticket", h.ticket[w]) }
func (h *host) ForgetKey(w policy.RequestID) { h.say("RELEASE_KEY", "ticket", h.ticket[w]) }
func (h *host) Coalesce(w policy.RequestID)  { h.say("ATTACH", "ticket", h.ticket[w]) }
func (h *host) Reject(w policy.RequestID, r policy.Rejection) {
	h.say("NOT_NOW", "ticket", h.ticket[w], "pause_s", r.RetryAfter, "final", r.NoRetryElsewhere)
}
func (h *host) Call(w policy.RequestID, patience time.Duration) {
	h.say("CALL_DEP", "ticket", h.ticket[w], "patience_s", patience)
}
func (h *host) RecordKey(w policy.RequestID, life time.Duration) {
	h.say("RECORD_KEY", "ticket", h.ticket[w], "for_time_s", life)
}
func (h *host) SetHealth(v policy.Health)          { h.say("FITNESS", "stored", v.Cached, "on", v.Healthy) }
func (h *host) SetIdleTimeout(after time.Duration) { h.say("IDLE", "for_time_s", after) }
func (h *host) Advertise(value float64)            { h.say("SIGNAL", "value", value) }
func (h *host) Wake(at time.Duration) {
	h.say("NOTIFY_ME", "alarm_time_s", h.start+at, "ref", uint64(1))
}

// Log sends the line as text: the message, then each field as key=value.
func (h *host) Log(message string, fields ...zap.Field) {
	text := message
	for _, field := range fields {
		values := zapcore.NewMapObjectEncoder()
		field.AddTo(values)
		text += fmt.Sprintf(" %s=%v", field.Key, values.Fields[field.Key])
	}
	h.say("DEBUG", "text", text)
}

func (h *host) Release(w policy.RequestID) {
	delete(h.index, h.ticket[w])
	h.spare = append(h.spare, w)
}
