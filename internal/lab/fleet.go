package lab

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"thymechute/internal/lab/rig"
)

const (
	minFleetSize = 4
	maxFleetSize = 64

	// maxAgreementTime is the limit on the time until all live members agree after a step.
	maxAgreementTime = 2 * time.Second

	// faultDuration is the time for which a member is stopped, and the duration of the one-way partition.
	faultDuration = 3 * time.Second

	killedDivisor    = 8 // 1/8 of the members are killed
	partitionDivisor = 3 // 1/3 are partitioned from the others
	remainingDivisor = 3 // 1/3 remain at the end
	minRemaining     = 2
)

// Fleet is the experiment on membership. Half of the members start, the others join, an eighth are killed, one is stopped and
// continued, and the killed ones restart. Then one member is isolated, what one member sends to another is dropped, and a third
// of the members are partitioned from the rest. At the end all but a third drain.
//
// The claims: after each step the live members agree within maxAgreementTime on the list of members and on their ranks, 0 to n-1;
// the one-way partition causes no false failure detection; and every member that drains exits with status 0. A size other than
// minFleetSize to maxFleetSize members is an error.
func Fleet(options Options) (*Report, error) {
	return FleetWithAgreementLimit(options, maxAgreementTime)
}

// FleetWithAgreementLimit is Fleet with another limit on the time until agreement. With 0, only the rig's own timeout applies, and
// false failure detections in the one-way partition are only reported. That is for small fleets. They detect failures more slowly, as
// a member probes each other member once in n probe intervals and fewer members confirm a suspicion.
func FleetWithAgreementLimit(options Options, agreementLimit time.Duration) (*Report, error) {
	if options.Size < minFleetSize || options.Size > maxFleetSize {
		return nil, fmt.Errorf("--size: found %d, expected %d to %d members", options.Size, minFleetSize, maxFleetSize)
	}
	experiment := &fleetExperiment{
		fleet:          rig.NewFleet(options.Program, options.Folder, options.Seed),
		size:           options.Size,
		agreementLimit: agreementLimit,
		progress:       options.Progress,
		report:         &Report{},
	}
	defer experiment.fleet.Close()
	for _, phase := range []func() error{
		experiment.start, experiment.kill, experiment.stopAndContinue, experiment.restart,
		experiment.isolate, experiment.partitionOneWay, experiment.partition, experiment.drain,
	} {
		if err := phase(); err != nil {
			return nil, err
		}
	}
	experiment.reportResults()
	return experiment.report, nil
}

// fleetExperiment is the state of a run of Fleet.
type fleetExperiment struct {
	fleet          *rig.Fleet
	size           int
	agreementLimit time.Duration // 0 for none
	progress       func(string)
	report         *Report

	live           []string // members that are expected to agree
	killed         []string // to be restarted
	agreementTimes []time.Duration
	// maxStaleMembers is the largest number of members of the larger side that a member of the smaller side still had in its
	// view when the partition healed.
	maxStaleMembers int
	failedDrains    int // members whose drain did not end with exit status 0
}

// memberNames returns the names of the members with the numbers from first to end-1.
func memberNames(first, end int) []string {
	var names []string
	for n := first; n < end; n++ {
		names = append(names, fmt.Sprintf("m%d", n))
	}
	return names
}

// awaitAgreement waits until the live members agree, and records the time that it took.
func (e *fleetExperiment) awaitAgreement(step string) error {
	return e.awaitAgreementSince(step, time.Now())
}

// awaitAgreementSince is awaitAgreement with the time measured from start.
func (e *fleetExperiment) awaitAgreementSince(step string, start time.Time) error {
	if _, err := e.fleet.WaitForAgreement(e.live); err != nil {
		return fmt.Errorf("fleet, step %q: %w", step, err)
	}
	took := time.Since(start)
	e.progress(fmt.Sprintf("%-34s %d members agree after %v", step, len(e.live), took.Round(time.Millisecond)))
	e.agreementTimes = append(e.agreementTimes, took)
	return nil
}

func (e *fleetExperiment) startMembers(names []string) error {
	for _, name := range names {
		if err := e.fleet.StartMember(name); err != nil {
			return err
		}
	}
	return nil
}

// start starts half of the members, then the others.
func (e *fleetExperiment) start() error {
	e.live = memberNames(0, e.size/2)
	if err := e.startMembers(e.live); err != nil {
		return err
	}
	if err := e.awaitAgreement("start"); err != nil {
		return err
	}
	if err := e.startMembers(memberNames(e.size/2, e.size)); err != nil {
		return err
	}
	e.live = memberNames(0, e.size)
	return e.awaitAgreement("join")
}

// kill kills an eighth of the members, at least one.
func (e *fleetExperiment) kill() error {
	remaining := len(e.live) - max(e.size/killedDivisor, 1)
	e.killed = slices.Clone(e.live[remaining:])
	for _, name := range e.killed {
		e.fleet.Member(name).Kill()
	}
	e.live = e.live[:remaining]
	return e.awaitAgreement("kill -9")
}

// stopAndContinue stops one member for at least faultDuration and continues it. The members agree without it, then with it.
func (e *fleetExperiment) stopAndContinue() error {
	stopped := e.live[len(e.live)-1]
	e.fleet.Member(stopped).Signal(syscall.SIGSTOP)
	stoppedAt := time.Now()
	e.live = e.live[:len(e.live)-1]
	if err := e.awaitAgreement("SIGSTOP"); err != nil {
		return err
	}
	time.Sleep(max(faultDuration-time.Since(stoppedAt), 0)) // the rest of the fault; not a wait for an event
	e.fleet.Member(stopped).Signal(syscall.SIGCONT)
	e.live = append(e.live, stopped)
	return e.awaitAgreement("SIGCONT")
}

// restart starts the killed members again under their names, without state.
func (e *fleetExperiment) restart() error {
	if err := e.startMembers(e.killed); err != nil {
		return err
	}
	e.live = append(e.live, e.killed...)
	return e.awaitAgreement("restart without state")
}

// drain shuts all but a third of the members down gracefully at the same time.
func (e *fleetExperiment) drain() error {
	remaining := max(e.size/remainingDivisor, minRemaining)
	draining := e.live[remaining:]
	errs := make(chan error, len(draining))
	start := time.Now()
	for _, name := range draining {
		go func(member *rig.Instance) { errs <- member.Drain() }(e.fleet.Member(name))
	}
	for range draining {
		if err := <-errs; err != nil {
			e.failedDrains++
			e.report.AddFault("%s", err.Error())
		}
	}
	for _, name := range draining {
		e.fleet.Remove(name)
	}
	e.live = e.live[:remaining]
	return e.awaitAgreementSince("drain", start)
}

// reportResults adds the figures to the report and checks the slowest agreement against the limit.
func (e *fleetExperiment) reportResults() {
	slices.Sort(e.agreementTimes)
	slowest := e.agreementTimes[len(e.agreementTimes)-1]
	e.report.AddFigure("smaller_side_still_holds", float64(e.maxStaleMembers))
	e.report.AddFigure("members_most", float64(e.size))
	e.report.AddFigure("converge_ms_p99", float64(slowest.Milliseconds()))
	e.report.AddFigure("converge_ms_median", float64(e.agreementTimes[len(e.agreementTimes)/2].Milliseconds()))
	e.report.ExpectZero("bad_exits", e.failedDrains)
	if e.agreementLimit > 0 && slowest > e.agreementLimit {
		e.report.AddFault("fleet: slowest agreement took %v, expected at most %v", slowest, e.agreementLimit)
	}
}
