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
	labMemory  = 96              // MB: a quarter holds the receipts of half the messages, within their window
	backlog    = 20000           // messages ready at a time
	stalled    = 200 * time.Millisecond
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
	if err := b.Depot("given-up", nil); err != nil {
		return nil, err
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
		delete(r.marks, e.Peer+e.ID) // the copy went out, and the message will come again
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

// launch starts two instances at the rig's broker, each with its own runtime; end ends all that is left of them.
func (r *amqpRig) launch(program, folder, attributes string, seed uint64) (instances *[2]*Instance, runtimes [2]string, end func(), err error) {
	instances = new([2]*Instance)
	var ends []func()
	end = func() {
		for _, i := range instances {
			if i != nil {
				i.Kill()
			}
		}
		for _, f := range ends {
			f()
		}
	}
	settings, err := r.write(folder, attributes)
	if err != nil {
		return instances, runtimes, end, err
	}
	for n := range instances {
		name := fmt.Sprintf("n%d", n+1)
		var rt *runtime.Runtime
		if rt, runtimes[n], err = runtime.Start("127.0.0.1:0", brief, r.started(name)); err != nil {
			return instances, runtimes, end, err
		}
		ends = append(ends, rt.Close)
		if instances[n], err = Launch(program, folder, name, runtimes[n], settings, labMemory, seed+uint64(n)); err != nil {
			return instances, runtimes, end, err
		}
	}
	return instances, runtimes, end, nil
}

func (r *amqpRig) settings(folder string) string { return filepath.Join(folder, "amqp.xml") }

// write puts the operator's file down.
func (r *amqpRig) write(folder, attributes string) (path string, err error) {
	path = r.settings(folder)
	return path, os.WriteFile(path, fmt.Appendf(nil, settingsFile, attributes, r.address), 0o600)
}

// put publishes the nth message; every other one is an excursion.
func (r *amqpRig) put(n int) { r.publish([]string{Excursion, Trace}[n%2], n) }

func (r *amqpRig) publish(band string, n int) {
	id := fmt.Sprintf("m%d", n)
	r.b.Publish("", "readings", broker.Props{broker.Type: band, broker.MessageID: id, broker.Headers: broker.Table{"customer": "acme"}}, []byte(id))
}

// report says what the book has, once the instances are gone.
func (r *amqpRig) report(to *Report, size int, most int64) {
	s, unknown := r.b.State("readings"), r.b.Counted("unknown-tag")
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.book
	b.Close(time.Since(r.start))
	b.Memory("instances", most, labMemory<<20)
	to.put("messages", float64(size))
	to.put("read", float64(b.Tries()))
	to.put("fulfilled", float64(b.Count(verdict.Fulfilled)))
	to.put("turned_back", float64(b.Count(verdict.TurnedBack)))
	to.put("scrapped", float64(b.Count(verdict.Scrapped)))
	to.put("caller_gone", float64(b.Count(verdict.Gone)))
	to.put("dead_lettered", float64(r.dead))
	to.put("ran_messages", float64(b.Ran()))
	to.put("acks_dropped", float64(r.b.Counted("ack-dropped")))
	to.put("connections_lost", float64(r.b.Counted("lost")))
	to.zero("unsettled_at_broker", s.Ready+s.Out)
	to.zero("ended_twice", b.EndedTwice+unknown)
	to.zero("late", b.Late)
	to.zero("double_runs_one_instance", b.DoubleRunsOne)
	to.zero("double_runs_all", b.DoubleRunsAll)
	to.zero("breaches", len(b.Breaches()))
	for _, x := range b.Breaches()[:min(len(b.Breaches()), 5)] {
		to.Faults = append(to.Faults, x.String())
	}
	if lost := size - b.Ran() - r.dead; lost > 0 {
		to.Faults = append(to.Faults, fmt.Sprintf("%d messages neither ran nor are dead letters", lost))
	}
	to.put("most_memory_mb", float64(most)/(1<<20))
}

// AMQPStorm hands every message out six times, acked or not, to two consumers of small credit: memory stays flat and
// nothing loops.
func AMQPStorm(program, folder string, seed uint64, size int, progress func(string)) (*Report, error) {
	r := &Report{}
	rig, err := newAMQPRig()
	if err != nil {
		return r, err
	}
	defer rig.b.Close()
	rig.b.Again = 5
	for n := range size {
		rig.put(n)
	}
	progress(fmt.Sprintf("%d messages ready, each handed out %d times", size, rig.b.Again+1))
	instances, _, end, err := rig.launch(program, folder, ` least-credit="8" most-credit="16"`, seed)
	defer end()
	if err != nil {
		return r, err
	}
	began, early := time.Now(), int64(0)
	memory := func() int64 { return max(instances[0].Memory(), instances[1].Memory()) }
	for stop := began.Add(longest); ; time.Sleep(20 * time.Millisecond) {
		s := rig.b.State("readings")
		if early == 0 && rig.b.Counted("delivered") > size {
			early = memory()
		}
		if s.Ready+s.Out == 0 {
			break
		}
		if time.Now().After(stop) {
			r.Faults = append(r.Faults, fmt.Sprintf("not drained after %v: %+v", longest, s))
			break
		}
	}
	took, most := time.Since(began), memory()
	cpu := instances[0].CPU() + instances[1].CPU()
	for _, i := range instances {
		if err := i.Leave(); err != nil {
			r.Faults = append(r.Faults, err.Error())
		}
	}
	rig.report(r, size, most)
	handed := rig.b.Counted("delivered")
	r.put("early_memory_mb", float64(early)/(1<<20))
	r.put("cpu_ms_per_delivery", cpu.Seconds()*1e3/float64(max(handed, 1)))
	r.put("drain_s", took.Seconds())
	// What is turned back or dead-lettered is a message anew, or ends; nothing else brings deliveries of its own.
	if most := (rig.b.Again + 1) * size; handed > most {
		r.Faults = append(r.Faults, fmt.Sprintf("%d deliveries, expected at most %d: something loops", handed, most))
	}
	if float64(most) > 1.3*float64(early)+(4<<20) {
		r.Faults = append(r.Faults, fmt.Sprintf("memory grew from %d to %d bytes", early, most))
	}
	return r, nil
}

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
	instances, runtimes, stop, err := rig.launch(program, folder, ` least-credit="32"`, seed)
	defer stop()
	if err != nil {
		return err
	}
	progress(fmt.Sprintf("%d messages, half of them %s", size, Excursion))
	began, end := time.Now(), time.Now().Add(longest)
	killed, restarted, most := false, false, int64(0)
	handed, moved := 0, time.Now() // deliveries, and when there was the last
	put, drained, said := 0, time.Time{}, time.Now()
	for {
		s := rig.b.State("readings")
		for ; put < size && s.Ready < backlog; put++ {
			rig.put(put)
			s.Ready++
		}
		rig.mu.Lock()
		done := rig.book.Count(verdict.Fulfilled)
		rig.mu.Unlock()
		// A consumer whose acks were lost has its credit used up for good; brokers end such a one after a while.
		if n := rig.b.Counted("delivered"); n != handed {
			handed, moved = n, time.Now()
		} else if s.Consumers > 0 && s.Out > 0 && time.Since(moved) > stalled { // none that only pauses
			rig.b.Cut()
			moved = time.Now()
		}
		if time.Since(said) > 5*time.Second {
			said = time.Now()
			progress(fmt.Sprintf("%d fulfilled, %d connections lost, %+v", done, rig.b.Counted("lost"), s))
		}
		if !killed && done > size/3 {
			killed = true
			progress("n2 is killed and starts cold")
			most = max(most, instances[1].Memory())
			instances[1].Kill()
			if instances[1], err = Launch(program, folder, "n2", runtimes[1], rig.settings(folder), labMemory, seed+9); err != nil {
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
	rig.report(r, size, most)
	r.put("drain_s", took.Seconds())
	return nil
}

// amqpCost has one instance do the same work by either front, in turns.
func amqpCost(r *Report, program, folder string, seed uint64, size int, progress func(string)) error {
	var cpu, span [2]time.Duration
	size -= size % rpcConns // both do as many
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
		if settings, err = rig.write(folder, fmt.Sprintf(` least-credit="%d"`, rpcConns*rpcOpen)); err != nil {
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
			rig.publish(Trace, k)
		}
		rig.b.Wait("readings", func(s broker.State) bool { return s.Ready+s.Out == 0 })
	}
	stuck := time.AfterFunc(longest, rig.b.Close)
	defer stuck.Stop()
	give(size / 4) // the credit is at least as many as the other front's callers keep open
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
