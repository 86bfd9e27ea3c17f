// Package lab contains the experiments that run the program itself: its processes and fakes of its peers, all on loopback
// (lab/rig). Each experiment measures figures and checks a claim, a property that the figures must have. Every figure is measured
// in the run that reports it. The number of processes and the duration are bounded, and no process outlives its experiment.
//
// An experiment runs on its caller's goroutine. Run one at a time: two would compete for the machine's CPU time.
package lab
