// Package lab contains the experiments with the real program: processes of it and fakes of its peers, all on loopback (lab/rig),
// bounded in count and time. Each experiment measures figures and checks a claim on them; every figure is measured in the run that
// reports it. No process outlives its experiment. An experiment runs on its caller's goroutine and shares nothing with others but
// the machine, so that only one should run at a time.
package lab
