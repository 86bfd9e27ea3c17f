// Package rig runs the real program as processes on loopback, for the experiments of internal/lab: it owns their start,
// settings, addresses, faults (kill -9, SIGSTOP, cold restart, and the network's by stand/faultnet), and what is read of them
// (log, memory, processor time, fleet views).
//
// It must never touch an address that is not loopback, leave a process behind, or wait without a bound.
//
// Its tables: an instance's log, a mebibyte at most; a fleet's members and addresses, 250 names at most, and a runtime for
// each start. End ends them all.
package rig
