// Package simhost runs many instances of package policy on the simulator's line protocol: it decodes events
// into calls of the instances, maps the simulator's ids to request ids, and encodes the instances' decisions.
//
// The instances share only the input and the output. All work is done by the goroutine that calls Serve. The
// time is that of the batches. The tables are bounded by the number of instances and of requests that the
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

// Serve answers batches until the input ends. The error is a *wire.Error for malformed input, that of a failed
// read or write, or that of a panic of an instance, which is also reported to the simulator.
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

// serveBatch passes on the events of a batch and writes the reply. It returns an error for a panic.
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
			current, err = s.activate(m)
			if err != nil {
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

// activate returns the host of the instance to which the following events belong.
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

// reply calls Dispatch of the active instances, and writes the lines of all of them.
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

// reportPanic reports a panic to the simulator, on behalf of the first active instance.
func (s *server) reportPanic(cause string) error {
	if len(s.active) > 0 {
		s.writeOnBehalf(s.active[0].id)
	}
	s.out.Write(wire.NewLine(nil, "INTERNAL_ERROR").Text("text", cause).End())
	return errors.Join(errors.New("decision module: "+cause), s.finishReply())
}
