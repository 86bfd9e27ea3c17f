// This file owns the consumer's experiment: two instances at a broker that loses acks, cuts connections in mid-batch,
// restarts once, and an instance that is killed and comes back cold.

package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/invariant"
	"thymechute/internal/lab/rig"
)

const (
	longest = 5 * time.Minute        // a run, whatever happens
	backlog = 20000                  // messages ready at a time
	stalled = 200 * time.Millisecond // without a delivery, while a consumer holds messages
)

// AMQP is the whole experiment with so many messages; progress is told line by line.
func AMQP(program, folder string, seed uint64, size int, progress func(string)) (*Report, error) {
	r := &Report{}
	if err := amqpFaults(r, program, folder, seed, size, progress); err != nil {
		return r, err
	}
	return r, amqpCost(r, program, folder, seed, max(size/5, 500), progress)
}

func amqpFaults(r *Report, program, folder string, seed uint64, size int, progress func(string)) error {
	recorded, err := newRecordedBroker(broker.Fault{Point: "settle", Nth: 1 + int(seed%20), Every: 20, Action: "drop"},
		broker.Fault{Point: "deliver", Nth: max(size/200, 500) + int(seed%7), Every: max(size/200, 500), Action: "cut-after"})
	if err != nil {
		return err
	}
	defer recorded.b.Close()
	instances, runtimes, stop, err := recorded.launch(program, folder, ` least-credit="32"`, seed)
	defer stop()
	if err != nil {
		return err
	}
	progress(fmt.Sprintf("%d messages, half of them %s", size, rig.Excursion))
	began, end := time.Now(), time.Now().Add(longest)
	killed, restarted, most := false, false, int64(0)
	handed, moved := 0, time.Now() // deliveries, and when there was the last
	put, drained, said := 0, time.Time{}, time.Now()
	for {
		s := recorded.b.QueueState("readings")
		for ; put < size && s.Ready < backlog; put++ {
			recorded.put(put)
			s.Ready++
		}
		recorded.mu.Lock()
		done := recorded.book.OutcomeCount(invariant.Succeeded)
		recorded.mu.Unlock()
		// A consumer whose acks were lost has its credit used up for good; brokers end such a one after a while.
		if n := recorded.b.EventCount("delivered"); n != handed {
			handed, moved = n, time.Now()
		} else if s.Consumers > 0 && s.Unacked > 0 && time.Since(moved) > stalled { // none that only pauses
			recorded.b.CutNewest()
			moved = time.Now()
		}
		if time.Since(said) > 5*time.Second {
			said = time.Now()
			progress(fmt.Sprintf("%d fulfilled, %d connections lost, %+v", done, recorded.b.EventCount("lost"), s))
		}
		if !killed && done > size/3 {
			killed = true
			progress("n2 is killed and starts cold")
			most = max(most, instances[1].Memory())
			instances[1].Kill()
			if instances[1], err = rig.Launch(program, folder, "n2", runtimes[1], recorded.settings(folder), rig.MemoryMB, seed+9); err != nil {
				return err
			}
		}
		if !restarted && done > size/2 {
			restarted = true
			progress("the broker restarts")
			recorded.b.Restart()
		}
		switch {
		case put < size || s.Ready > 0 || s.Unacked > 0:
			drained = time.Time{}
		case drained.IsZero():
			drained = time.Now()
		}
		if !drained.IsZero() && time.Since(drained) > 300*time.Millisecond {
			break
		}
		if time.Now().After(end) {
			r.Fault("not drained after %v: %+v", longest, s)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(began)
	for _, i := range instances {
		most = max(most, i.Memory())
		if err := i.Drain(); err != nil {
			r.Fault("%s", err.Error())
		}
	}
	recorded.report(r, size, most)
	r.Put("drain_s", took.Seconds())
	return nil
}
