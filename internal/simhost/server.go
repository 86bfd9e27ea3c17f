// Package simhost hosts many instances of the decision module on the simulator's line protocol: it decodes
// events into calls of the module, maps the simulator's ids to the module's indices, and encodes what the
// module does.
//
// The instances share nothing but the input and the output. All work is done by the goroutine that calls
// Serve; the clock is the batches' own. Its tables are bounded by the instances and the requests that the
// simulator has open.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"thymechute/internal/wire"
)

// replyBufferBytes is the size of the output buffer.
const replyBufferBytes = 1 << 20

// Serve answers batches until the input ends. It returns an error where the input is
// malformed, can't be read or answered, or where the module panics; the simulator is told of a panic.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		messages: wire.NewReader(in),
		out:      bufio.NewWriterSize(out, replyBufferBytes),
		hosts:    map[uint64]*host{},
	}
	for {
		m, err := s.messages.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if m.Name != "BEGIN_BATCH" {
			return m.FieldError("name", "BEGIN_BATCH outside of a batch")
		}
		now, err := m.RequiredSeconds("moment_s")
		if err != nil {
			return err
		}
		if err := s.serveBatch(now); err != nil {
			return err
		}
	}
}

// server is the state between batches.
type server struct {
	messages *wire.Reader
	out      *bufio.Writer
	hosts    map[uint64]*host // by the instance's id
	active   []*host          // hosts with an event in this batch, in the order of their first one
}

// serveBatch hands the events of a batch on and replies. A panic of the module ends the work.
func (s *server) serveBatch(now time.Duration) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = s.reportPanic(fmt.Sprint(cause))
		}
	}()
	s.active = s.active[:0]
	var current *host
	for {
		m, err := s.messages.Next()
		if errors.Is(err, io.EOF) {
			return &wire.Error{Field: "end of input", Expected: "EOF_BATCH first: the batch is cut off"}
		}
		if err != nil {
			return err
		}
		switch m.Name {
		case "EOF_BATCH":
			return s.reply(now)
		case "BEGIN_BATCH":
			return m.FieldError("name", "EOF_BATCH before the next batch")
		case "FOR":
			if current, err = s.activate(m); err != nil {
				return err
			}
		default:
			if current == nil {
				return m.FieldError("name", "FOR before the first event of a batch")
			}
			current.now = now
			if err := current.handle(m); err != nil {
				return err
			}
		}
	}
}

// activate returns the host of the instance that the events to come belong to.
func (s *server) activate(m wire.Message) (*host, error) {
	id, err := m.RequiredUint("instance")
	if err != nil {
		return nil, err
	}
	h := s.hosts[id]
	if h == nil {
		h = &host{id: id}
		s.hosts[id] = h
	}
	if !h.isActive {
		h.isActive = true
		s.active = append(s.active, h)
	}
	return h, nil
}

// reply lets the active instances start work, and writes what all of them did in this batch.
func (s *server) reply(now time.Duration) error {
	for _, h := range s.active {
		h.isActive = false
		if h.instance == nil {
			delete(s.hosts, h.id)
			continue
		}
		h.now = now
		h.instance.Dispatch(now - h.startedAt)
		if len(h.out) > 0 {
			s.writeOnBehalf(h.id)
			s.out.Write(h.out)
			h.out = h.out[:0]
		}
	}
	return s.finishReply()
}

func (s *server) writeOnBehalf(id uint64) {
	s.out.Write(wire.NewLine(nil, "ON_BEHALF").Uint("instance", id).End())
}

func (s *server) finishReply() error {
	s.out.WriteString("FINISHED\n")
	return s.out.Flush()
}

// reportPanic tells the simulator that the module has panicked.
func (s *server) reportPanic(cause string) error {
	if len(s.active) > 0 {
		s.writeOnBehalf(s.active[0].id)
	}
	s.out.Write(wire.NewLine(nil, "INTERNAL_ERROR").Text("text", cause).End())
	return errors.Join(errors.New("decision module: "+cause), s.finishReply())
}
