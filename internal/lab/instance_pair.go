package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

// instancePair is two instances at the same broker, each with a fake runtime.
type instancePair struct {
	instances     [2]*rig.Instance
	runtimes      [2]string // addresses
	closeRuntimes []func()
}

func instanceName(n int) string { return fmt.Sprintf("n%d", n+1) }

// launchPair starts two instances at the broker. attributes are added to the amqp element of the operator's file. The pair is never
// nil and must be closed, also after an error.
func (r *recordedBroker) launchPair(experiment brokerExperiment, attributes string) (*instancePair, error) {
	p := &instancePair{}
	settings, err := r.writeSettings(experiment.Folder, attributes)
	if err != nil {
		return p, err
	}
	for n := range p.instances {
		fake, address, err := runtime.Start("127.0.0.1:0", rig.ShortRun, r.taskObserver(instanceName(n)))
		if err != nil {
			return p, err
		}
		p.closeRuntimes = append(p.closeRuntimes, fake.Close)
		p.runtimes[n] = address
		if p.instances[n], err = experiment.launch(instanceName(n), address, settings, experiment.Seed+uint64(n)); err != nil {
			return p, err
		}
	}
	return p, nil
}

// peakMemory returns the higher peak resident memory of the two, in bytes.
func (p *instancePair) peakMemory() int64 {
	return max(p.instances[0].PeakMemory(), p.instances[1].PeakMemory())
}

// cpuTime returns the CPU time of both together.
func (p *instancePair) cpuTime() time.Duration {
	return p.instances[0].CPUTime() + p.instances[1].CPUTime()
}

// drain shuts both down gracefully, one after the other. A shutdown that fails is a fault of the report.
func (p *instancePair) drain(report *Report) {
	for _, i := range p.instances {
		if err := i.Drain(); err != nil {
			report.AddFault("%s", err.Error())
		}
	}
}

// close kills the instances that still run and closes the fake runtimes.
func (p *instancePair) close() {
	for _, i := range p.instances {
		if i != nil {
			i.Kill()
		}
	}
	for _, closeRuntime := range p.closeRuntimes {
		closeRuntime()
	}
}
