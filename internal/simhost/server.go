// Package simhost runs many instances of package policy over the simulator's line protocol: it decodes events
// into method calls on the instances, maps the simulator's tickets to request ids, and encodes the instances'
// decisions.
//
// The instances share only the input and the output. All work is done by the goroutine that calls Serve. Time is
// simulated: each batch carries the time of its events. The tables are bounded by the number of instances and of
// requests that the simulator has open.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"thymechute/internal/wire"
)

// replyBufferBytes is the size of the output buffer, which is flushed after each batch.
const replyBufferBytes = 1 << 20

// Serve answers batches until the input ends. It returns a *wire.Error for malformed input, the error of a failed
// read or write, or an error for a panic of an instance, which it also reports to the simulator.
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
			return m.FieldError("message", "BEGIN_BATCH at the start of a batch")
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

// server is the state of Serve, kept from batch to batch.
type server struct {
	messages    *wire.Reader
	out         *bufio.Writer
	hosts       map[uint64]*host // by the simulator's id of the instance
	activeHosts []*host          // hosts with an event in the current batch, in the order of their first event
}

// serveBatch passes the events of a batch to their instances and writes the reply. A panic of an instance is returned
// as an error.
func (s *server) serveBatch(now time.Duration) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = s.reportPanic(fmt.Sprint(cause))
		}
	}()
	s.activeHosts = s.activeHosts[:0]
	var current *host
	for {
		m, err := s.messages.Next()
		if errors.Is(err, io.EOF) {
			return &wire.Error{Field: "end of input", Expected: "EOF_BATCH, the last batch is incomplete"}
		}
		if err != nil {
			return err
		}
		switch m.Name {
		case "EOF_BATCH":
			return s.reply(now)
		case "BEGIN_BATCH":
			return m.FieldError("message", "EOF_BATCH before the next batch")
		case "FOR":
			current, err = s.activate(m)
			if err != nil {
				return err
			}
		default:
			if current == nil {
				return m.FieldError("message", "FOR before the first event of a batch")
			}
			current.now = now
			if err := current.handle(m); err != nil {
				return err
			}
		}
	}
}

// activate returns the host of the instance that a FOR message selects for the events after it.
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
		s.activeHosts = append(s.activeHosts, h)
	}
	return h, nil
}

// reply calls Dispatch on the active instances and writes their lines. It removes active hosts that have no
// instance.
func (s *server) reply(now time.Duration) error {
	for _, h := range s.activeHosts {
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

// reportPanic reports a panic to the simulator, on behalf of the first active instance, and returns it as an error.
func (s *server) reportPanic(cause string) error {
	if len(s.activeHosts) > 0 {
		s.writeOnBehalf(s.activeHosts[0].id)
	}
	s.out.Write(wire.NewLine(nil, "INTERNAL_ERROR").Text("text", cause).End())
	return errors.Join(errors.New("panic of an instance: "+cause), s.finishReply())
}
