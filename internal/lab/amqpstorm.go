// This file owns the experiment on a broker that hands every message out many times.

package lab

import (
	"fmt"
	"time"
)

// AMQPStorm hands every message out six times, acked or not, to two consumers of small credit: memory stays flat and
// nothing loops.
func AMQPStorm(program, folder string, seed uint64, size int, progress func(string)) (*Report, error) {
	r := &Report{}
	recorded, err := newRecordedBroker()
	if err != nil {
		return r, err
	}
	defer recorded.b.Close()
	recorded.b.Redeliveries = 5
	for n := range size {
		recorded.put(n)
	}
	progress(fmt.Sprintf("%d messages ready, each handed out %d times", size, recorded.b.Redeliveries+1))
	instances, _, end, err := recorded.launch(program, folder, ` least-credit="8" most-credit="16"`, seed)
	defer end()
	if err != nil {
		return r, err
	}
	began, early := time.Now(), int64(0)
	memory := func() int64 { return max(instances[0].Memory(), instances[1].Memory()) }
	for stop := began.Add(longest); ; time.Sleep(20 * time.Millisecond) {
		s := recorded.b.QueueState("readings")
		if early == 0 && recorded.b.EventCount("delivered") > size {
			early = memory()
		}
		if s.Ready+s.Unacked == 0 {
			break
		}
		if time.Now().After(stop) {
			r.Fault("not drained after %v: %+v", longest, s)
			break
		}
	}
	took, most := time.Since(began), memory()
	cpu := instances[0].CPU() + instances[1].CPU()
	for _, i := range instances {
		if err := i.Drain(); err != nil {
			r.Fault("%s", err.Error())
		}
	}
	recorded.report(r, size, most)
	handed := recorded.b.EventCount("delivered")
	r.Put("early_memory_mb", float64(early)/(1<<20))
	r.Put("cpu_ms_per_delivery", cpu.Seconds()*1e3/float64(max(handed, 1)))
	r.Put("drain_s", took.Seconds())
	// What is turned back or dead-lettered is a message anew, or ends; nothing else brings deliveries of its own.
	if most := (recorded.b.Redeliveries + 1) * size; handed > most {
		r.Fault("%d deliveries, expected at most %d: something loops", handed, most)
	}
	if float64(most) > 1.3*float64(early)+(4<<20) {
		r.Fault("memory grew from %d to %d bytes", early, most)
	}
	return r, nil
}
