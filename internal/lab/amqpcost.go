// This file owns what a request costs by the consumer beside the JSON-RPC front, in the same run.

package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

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
	r.Put("amqp_cpu_ms_per_item", per(cpu[0]))
	r.Put("rpc_cpu_ms_per_item", per(cpu[1]))
	r.Put("amqp_per_rpc_cpu_ratio", cpu[0].Seconds()/cpu[1].Seconds())
	r.Put("amqp_items_per_s", float64(2*size)/span[0].Seconds())
	r.Put("rpc_items_per_s", float64(2*size)/span[1].Seconds())
	return nil
}

func costRound(program, folder string, seed uint64, size, front int) (cpu, span time.Duration, err error) {
	recorded, err := newRecordedBroker()
	if err != nil {
		return 0, 0, err
	}
	defer recorded.b.Close()
	recorded.b.Watch(func(broker.Event) {})
	rt, address, err := runtime.Start("127.0.0.1:0", rig.Instant, func(string, []byte) {})
	if err != nil {
		return 0, 0, err
	}
	defer rt.Close()
	settings := ""
	if front == 0 {
		if settings, err = recorded.write(folder, fmt.Sprintf(` least-credit="%d"`, rpcConns*rpcOpen)); err != nil {
			return 0, 0, err
		}
	}
	i, err := rig.Launch(program, folder, "cost", address, settings, rig.MemoryMB, seed)
	if err != nil {
		return 0, 0, err
	}
	defer i.Kill()
	if front == 1 {
		return rpcRound(i, size)
	}
	give := func(n int) {
		for k := range n {
			recorded.publish(rig.Trace, k)
		}
		recorded.b.WaitForQueue("readings", func(s broker.QueueState) bool { return s.Ready+s.Unacked == 0 })
	}
	stuck := time.AfterFunc(longest, recorded.b.Close)
	defer stuck.Stop()
	give(size / 4) // the credit is at least as many as the other front's callers keep open
	before, began := i.CPU(), time.Now()
	give(size)
	return i.CPU() - before, time.Since(began), nil
}
