package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

// instancePair is two instances at one broker, each with a fake runtime.
type instancePair struct {
	instances [2]*rig.Instance
	runtimes  [2]string // addresses
	closers   []func()
}

func instanceName(n int) string { return fmt.Sprintf("n%d", n+1) }

// launchPair starts two instances at the broker, with further attributes of the operator's amqp element. The pair is never nil
// and must be ended, also after an error.
func (r *recordedBroker) launchPair(in run, attributes string) (*instancePair, error) {
	p := &instancePair{}
	settings, err := r.writeSettings(in.Folder, attributes)
	if err != nil {
		return p, err
	}
	for n := range p.instances {
		fake, address, err := runtime.Start("127.0.0.1:0", rig.ShortRun, r.observeStart(instanceName(n)))
		if err != nil {
			return p, err
		}
		p.closers = append(p.closers, fake.Close)
		p.runtimes[n] = address
		if p.instances[n], err = in.launch(instanceName(n), address, settings, in.Seed+uint64(n)); err != nil {
			return p, err
		}
	}
	return p, nil
}

// memory is the higher resident memory of the two, in bytes.
func (p *instancePair) memory() int64 {
	return max(p.instances[0].PeakMemory(), p.instances[1].PeakMemory())
}

// cpu is the CPU time of both.
func (p *instancePair) cpu() time.Duration {
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

// end kills what still runs and closes the fake runtimes.
func (p *instancePair) end() {
	for _, i := range p.instances {
		if i != nil {
			i.Kill()
		}
	}
	for _, closeRuntime := range p.closers {
		closeRuntime()
	}
}
