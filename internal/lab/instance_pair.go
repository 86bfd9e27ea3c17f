package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

// instancePair is two instances at one broker, each with a fake runtime.
type instancePair struct {
	instances     [2]*rig.Instance
	runtimes      [2]string // addresses
	closeRuntimes []func()
}

func instanceName(n int) string { return fmt.Sprintf("n%d", n+1) }

// launchPair starts two instances at the broker, with further attributes of the operator's amqp element. The pair is never nil
// and must be ended, also after an error.
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

// peakMemory is the higher resident memory of the two, in bytes.
func (p *instancePair) peakMemory() int64 {
	return max(p.instances[0].PeakMemory(), p.instances[1].PeakMemory())
}

// cpuTime is the CPU time of both.
func (p *instancePair) cpuTime() time.Duration {
	return p.instances[0].CPUTime() + p.instances[1].CPUTime()
}

// drain shuts both down gracefully, one after the other; a failure is a fault of the report.
func (p *instancePair) drain(report *Report) {
	for _, i := range p.instances {
		if err := i.Drain(); err != nil {
			report.AddFault("%s", err.Error())
		}
	}
}

// close kills what still runs and closes the fake runtimes.
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
