package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

// front is the protocol by which an instance receives its work.
type front string

const (
	frontAMQP front = "amqp"
	frontRPC  front = "json-rpc"
)

// roundsPerFront is the number of measurements of each front; the fronts alternate.
const roundsPerFront = 2

// warmUpDivisor determines the warm-up: 1/warmUpDivisor of a round's size is sent before the measurement.
const warmUpDivisor = 4

// cost is the CPU time and the elapsed time of a round.
type cost struct{ cpu, elapsed time.Duration }

func (c cost) plus(other cost) cost {
	return cost{c.cpu + other.cpu, c.elapsed + other.elapsed}
}

// compareFrontCosts measures and reports the cost of the same work by AMQP and by JSON-RPC.
func (e brokerExperiment) compareFrontCosts(report *Report) error {
	e.Size -= e.Size % rpcConns // both fronts get the same number, a multiple of the JSON-RPC connections
	costs := map[front]cost{}
	round := 0
	for range roundsPerFront {
		for _, protocol := range []front{frontAMQP, frontRPC} {
			e.Progress(fmt.Sprintf("cost, round %d: %s", round+1, protocol))
			measured, err := e.costRound(protocol, e.Seed+uint64(round))
			if err != nil {
				return err
			}
			costs[protocol] = costs[protocol].plus(measured)
			round++
		}
	}
	items := float64(roundsPerFront * e.Size)
	amqp, rpc := costs[frontAMQP], costs[frontRPC]
	report.AddFigure("amqp_cpu_ms_per_item", milliseconds(amqp.cpu)/items)
	report.AddFigure("rpc_cpu_ms_per_item", milliseconds(rpc.cpu)/items)
	report.AddFigure("amqp_per_rpc_cpu_ratio", amqp.cpu.Seconds()/rpc.cpu.Seconds())
	report.AddFigure("amqp_items_per_s", items/amqp.elapsed.Seconds())
	report.AddFigure("rpc_items_per_s", items/rpc.elapsed.Seconds())
	return nil
}

// costRound measures one front with a new instance. The fake broker runs for JSON-RPC too, without messages.
func (e brokerExperiment) costRound(protocol front, seed uint64) (cost, error) {
	recorded, err := newRecordedBroker()
	if err != nil {
		return cost{}, err
	}
	defer recorded.broker.Close()
	recorded.broker.Watch(func(broker.Event) {}) // replaces the invariant checker, whose time is not part of the cost
	fake, address, err := runtime.Start("127.0.0.1:0", rig.ImmediateRun, func(string, []byte) {})
	if err != nil {
		return cost{}, err
	}
	defer fake.Close()
	settings := ""
	if protocol == frontAMQP {
		if settings, err = recorded.writeSettings(e.Folder, fmt.Sprintf(` least-credit="%d"`, rpcConns*rpcOpenRequests)); err != nil {
			return cost{}, err
		}
	}
	instance, err := e.launch("cost", address, settings, seed)
	if err != nil {
		return cost{}, err
	}
	defer instance.Kill()
	if protocol == frontRPC {
		return measureRPC(instance, e.Size)
	}
	return measureAMQP(instance, recorded, e.Size), nil
}

// measureAMQP publishes size messages and waits until all are settled. It closes the broker after maxRunTime, which ends the wait.
// The least prefetch limit is the number of requests that measureRPC keeps open.
func measureAMQP(instance *rig.Instance, recorded *recordedBroker, size int) cost {
	timeout := time.AfterFunc(maxRunTime, recorded.broker.Close)
	defer timeout.Stop()
	recorded.publishAndAwaitSettled(size / warmUpDivisor)
	cpu, begin := instance.CPUTime(), time.Now()
	recorded.publishAndAwaitSettled(size)
	return cost{instance.CPUTime() - cpu, time.Since(begin)}
}

// publishAndAwaitSettled publishes count messages of SafeClass and waits until the queue is empty or the broker is closed.
func (r *recordedBroker) publishAndAwaitSettled(count int) {
	for n := range count {
		r.publish(rig.SafeClass, n)
	}
	r.broker.WaitForQueue(readingsQueue, func(s broker.QueueState) bool { return s.Ready+s.Unacked == 0 })
}
