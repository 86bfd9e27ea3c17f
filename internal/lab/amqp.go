// The consumer's experiment: two instances at a broker that loses acks, cuts connections in mid-batch, restarts once,
// and an instance that is killed and comes back cold. Then its cost beside the JSON-RPC front, in the same run.

package lab

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"thymechute/internal/stand/broker"
	"thymechute/internal/stand/runtime"
	"thymechute/internal/verdict"
)

const (
	longest    = 5 * time.Minute // a run, whatever happens
	labMemory  = 48              // MB
	backlog    = 20000           // messages ready at a time
	resultSize = 64
)

// Figure is one number with its name, which ends in its unit where it has one.
type Figure struct {
	Name  string
	Value float64
}

// Report is what an experiment found.
type Report struct {
	Figures []Figure
	Faults  []string // why the claim does not hold; none: it holds
}

func (r *Report) put(name string, value float64) { r.Figures = append(r.Figures, Figure{name, value}) }

func (r *Report) zero(name string, value int) {
	if r.put(name, float64(value)); value != 0 {
		r.Faults = append(r.Faults, fmt.Sprintf("%s is %d, expected 0", name, value))
	}
}

const settingsFile = `<thymechute xmlns="urn:thymechute:operator:1">
  <amqp%s>
    <broker address="%s"/>
    <queue name="readings" dead-letter="given-up"/>
  </amqp>
</thymechute>
`

// amqpRig is a broker with its queues, watched by a book.
type amqpRig struct {
	b       *broker.Broker
	address string
	start   time.Time
	mu      sync.Mutex
	book    *verdict.Book
	marks   map[string]verdict.How // what a published copy says of a try's end
	ended   map[string]bool
	dead    int
}

func kinds(band string) verdict.Kind {
	switch band {
	case Trace:
		return verdict.Pure
	case Excursion:
		return verdict.Receipted
	}
	return verdict.Effectful
}

func newAMQPRig(faults ...broker.Fault) (*amqpRig, error) {
	b, err := broker.New(faults...)
	if err != nil {
		return nil, err
	}
	r := &amqpRig{b: b, start: time.Now(), book: verdict.New(Window), marks: map[string]verdict.How{}, ended: map[string]bool{}}
	for _, err := range []error{b.Declare("readings", nil), b.Declare("dead", nil), b.Exchange("given-up", "fanout"), b.Bind("dead", "given-up", "")} {
		if err != nil {
			return nil, err
		}
	}
	b.Watch(r.event)
	r.address, err = b.Start("127.0.0.1:0")
	return r, err
}

// event enters what happens at the broker.
func (r *amqpRig) event(e broker.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, try := time.Since(r.start), fmt.Sprintf("%d/%d", e.Conn, e.Tag)
	switch e.What {
	case "published":
		if e.Conn == 0 {
			return
		}
		if e.Queue == "dead" {
			r.dead++
			r.marks[e.Peer+e.ID] = verdict.Scrapped
		} else {
			r.marks[e.Peer+e.ID] = verdict.TurnedBack
		}
	case "delivered":
		r.book.Read(at, e.Peer, e.ID, try, kinds(e.Type), at+Patience)
	case "acked", "ack-dropped":
		how := verdict.Fulfilled
		if mark := r.marks[e.Peer+e.ID]; mark != "" {
			how = mark
			delete(r.marks, e.Peer+e.ID)
		}
		r.ended[try] = true
		r.book.Answered(at, try, how)
	case "requeued", "rejected":
		r.book.Answered(at, try, verdict.Scrapped)
	case "gone":
		if !r.ended[try] { // else its ack was lost, and it was answered
			r.book.Answered(at, try, verdict.Gone)
		}
		delete(r.ended, try)
	}
}

func (r *amqpRig) started(instance string) func(string, []byte) {
	return func(band string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.book.Started(time.Since(r.start), instance, string(body), kinds(band))
	}
}

func instant(string, []byte) (time.Duration, []byte) { return 0, make([]byte, resultSize) }

// brief is a run that takes a while, so that cuts find some at work.
func brief(string, []byte) (time.Duration, []byte) { return time.Millisecond, make([]byte, resultSize) }

// AMQP is the whole experiment with so many messages; progress is told line by line.
func AMQP(program, folder string, seed uint64, size int, progress func(string)) (*Report, error) {
	r := &Report{}
	if err := amqpFaults(r, program, folder, seed, size, progress); err != nil {
		return r, err
	}
	return r, amqpCost(r, program, folder, seed, max(size/5, 500), progress)
}

func amqpFaults(r *Report, program, folder string, seed uint64, size int, progress func(string)) error {
	rig, err := newAMQPRig(broker.Fault{On: "settle", Nth: 1 + int(seed%20), Every: 20, Do: "drop"},
		broker.Fault{On: "deliver", Nth: max(size/200, 500) + int(seed%7), Every: max(size/200, 500), Do: "cut-after"})
	if err != nil {
		return err
	}
	defer rig.b.Close()
	settings := filepath.Join(folder, "amqp.xml")
	if err := os.WriteFile(settings, fmt.Appendf(nil, settingsFile, "", rig.address), 0o600); err != nil {
		return err
	}
	var instances [2]*Instance
	var runtimes [2]string
	for n := range instances {
		name := fmt.Sprintf("n%d", n+1)
		rt, address, err := runtime.Start("127.0.0.1:0", brief, rig.started(name))
		if err != nil {
			return err
		}
		defer rt.Close()
		runtimes[n] = address
		if instances[n], err = Launch(program, folder, name, address, settings, labMemory, seed+uint64(n)); err != nil {
			return err
		}
	}
	defer func() {
		for _, i := range instances {
			i.Kill()
		}
	}()
	progress(fmt.Sprintf("%d messages, half of them %s", size, Excursion))
	began, end := time.Now(), time.Now().Add(longest)
	killed, restarted, most := false, false, int64(0)
	put, drained := 0, time.Time{}
	for {
		s := rig.b.State("readings")
		for ; put < size && s.Ready < backlog; put++ {
			band := Trace
			if put%2 == 0 {
				band = Excursion
			}
			id := fmt.Sprintf("m%d", put)
			rig.b.Publish("", "readings", broker.Props{broker.Type: band, broker.MessageID: id, broker.Headers: broker.Table{"customer": "acme"}}, []byte(id))
			s.Ready++
		}
		rig.mu.Lock()
		done := rig.book.Count(verdict.Fulfilled)
		rig.mu.Unlock()
		if !killed && done > size/3 {
			killed = true
			progress("n2 is killed and starts cold")
			most = max(most, instances[1].Memory())
			instances[1].Kill()
			if instances[1], err = Launch(program, folder, "n2", runtimes[1], settings, labMemory, seed+9); err != nil {
				return err
			}
		}
		if !restarted && done > size/2 {
			restarted = true
			progress("the broker restarts")
			rig.b.Restart()
		}
		switch {
		case put < size || s.Ready > 0 || s.Out > 0:
			drained = time.Time{}
			if put == size && s.Ready == 0 && s.Conns > 0 { // left are those whose ack was lost: their connection goes
				rig.b.Cut()
			}
		case drained.IsZero():
			drained = time.Now()
		}
		if !drained.IsZero() && time.Since(drained) > 300*time.Millisecond {
			break
		}
		if time.Now().After(end) {
			r.Faults = append(r.Faults, fmt.Sprintf("not drained after %v: %+v", longest, s))
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(began)
	for _, i := range instances {
		most = max(most, i.Memory())
		if err := i.Leave(); err != nil {
			r.Faults = append(r.Faults, err.Error())
		}
	}
	s := rig.b.State("readings")
	unknown := rig.b.Counted("unknown-tag")
	rig.mu.Lock()
	defer rig.mu.Unlock()
	b := rig.book
	b.Close(time.Since(rig.start))
	b.Memory("instances", most, labMemory<<20)
	r.put("messages", float64(size))
	r.put("read", float64(b.Tries()))
	r.put("fulfilled", float64(b.Count(verdict.Fulfilled)))
	r.put("turned_back", float64(b.Count(verdict.TurnedBack)))
	r.put("scrapped", float64(b.Count(verdict.Scrapped)))
	r.put("caller_gone", float64(b.Count(verdict.Gone)))
	r.put("dead_lettered", float64(rig.dead))
	r.put("ran_messages", float64(b.Ran()))
	r.put("acks_dropped", float64(rig.b.Counted("ack-dropped")))
	r.put("connections_lost", float64(rig.b.Counted("lost")))
	r.zero("unsettled_at_broker", s.Ready+s.Out)
	r.zero("ended_twice", b.EndedTwice+unknown)
	r.zero("late", b.Late)
	r.zero("double_runs_one_instance", b.DoubleRunsOne)
	r.zero("double_runs_all", b.DoubleRunsAll)
	r.zero("breaches", len(b.Breaches()))
	for _, x := range b.Breaches()[:min(len(b.Breaches()), 5)] {
		r.Faults = append(r.Faults, x.String())
	}
	if lost := size - b.Ran() - rig.dead; lost > 0 {
		r.Faults = append(r.Faults, fmt.Sprintf("%d messages neither ran nor are dead letters", lost))
	}
	r.put("most_memory_mb", float64(most)/(1<<20))
	r.put("drain_s", took.Seconds())
	return nil
}

// amqpCost has one instance do the same work by either front, in turns.
func amqpCost(r *Report, program, folder string, seed uint64, size int, progress func(string)) error {
	var cpu, span [2]time.Duration
	for round := range 4 {
		front := round % 2
		progress(fmt.Sprintf("cost, round %d: %s", round+1, []string{"amqp", "json-rpc"}[front]))
		c, s, err := costRound(program, folder, seed+uint64(round), size, front)
		if err != nil {
			return err
		}
		cpu[front] += c
		span[front] += s
	}
	per := func(d time.Duration) float64 { return d.Seconds() * 1e3 / float64(2*size) }
	r.put("amqp_cpu_ms_per_item", per(cpu[0]))
	r.put("rpc_cpu_ms_per_item", per(cpu[1]))
	r.put("amqp_per_rpc_cpu_ratio", cpu[0].Seconds()/cpu[1].Seconds())
	r.put("amqp_items_per_s", float64(2*size)/span[0].Seconds())
	r.put("rpc_items_per_s", float64(2*size)/span[1].Seconds())
	return nil
}

func costRound(program, folder string, seed uint64, size, front int) (cpu, span time.Duration, err error) {
	rig, err := newAMQPRig()
	if err != nil {
		return 0, 0, err
	}
	defer rig.b.Close()
	rig.b.Watch(func(broker.Event) {})
	rt, address, err := runtime.Start("127.0.0.1:0", instant, func(string, []byte) {})
	if err != nil {
		return 0, 0, err
	}
	defer rt.Close()
	settings := ""
	if front == 0 {
		settings = filepath.Join(folder, "cost.xml")
		if err := os.WriteFile(settings, fmt.Appendf(nil, settingsFile, "", rig.address), 0o600); err != nil {
			return 0, 0, err
		}
	}
	i, err := Launch(program, folder, "cost", address, settings, labMemory, seed)
	if err != nil {
		return 0, 0, err
	}
	defer i.Kill()
	if front == 1 {
		return rpcRound(i, size)
	}
	give := func(n int) {
		for k := range n {
			id := fmt.Sprintf("m%d", k)
			rig.b.Publish("", "readings", broker.Props{broker.Type: Trace, broker.MessageID: id, broker.Headers: broker.Table{"customer": "acme"}}, []byte(id))
		}
		rig.b.Wait("readings", func(s broker.State) bool { return s.Ready+s.Out == 0 })
	}
	stuck := time.AfterFunc(longest, rig.b.Close)
	defer stuck.Stop()
	give(size / 4) // the credit has found its place
	before, began := i.CPU(), time.Now()
	give(size)
	return i.CPU() - before, time.Since(began), nil
}

const (
	rpcConns = 8
	rpcOpen  = 16 // requests at a time on each
)

// rpcRound does the same work over connections that keep as many requests open as a consumer's credit.
func rpcRound(i *Instance, size int) (cpu, span time.Duration, err error) {
	var conns [rpcConns]net.Conn
	for n := range conns {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if conns[n], err = net.Dial("tcp", i.Listen); err == nil {
				defer conns[n].Close()
				break
			}
			if time.Now().After(end) {
				return 0, 0, err
			}
		}
	}
	run := func(tag string, each int) error {
		var done sync.WaitGroup
		errs := make(chan error, rpcConns)
		for n, c := range conns {
			done.Add(1)
			go func() {
				defer done.Done()
				errs <- rpcLoad(c, fmt.Sprintf("%s%d", tag, n), each)
			}()
		}
		done.Wait()
		for range conns {
			if err := <-errs; err != nil {
				return err
			}
		}
		return nil
	}
	if err := run("w", max(size/4/rpcConns, 1)); err != nil {
		return 0, 0, err
	}
	before, began := i.CPU(), time.Now()
	err = run("m", size/rpcConns)
	return i.CPU() - before, time.Since(began), err
}

func rpcLoad(c net.Conn, tag string, count int) error {
	_ = c.SetDeadline(time.Now().Add(longest))
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	send := func(n int) {
		id := fmt.Sprintf("%s-%d", tag, n)
		fmt.Fprintf(out, `{"jsonrpc":"2.0","id":%d,"method":"trace","params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":0.1,"prio":0.5,"doc":%q}}`+"\n",
			n+1, id, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(id)))
	}
	sent := min(rpcOpen, count)
	for n := range sent {
		send(n)
	}
	for got := 0; got < count; got++ {
		if in.Buffered() == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if _, err := in.ReadSlice('\n'); err != nil {
			return err
		}
		if sent < count {
			send(sent)
			sent++
		}
	}
	return nil
}
