// Package rig runs the real program as processes on loopback, for the experiments of internal/lab: their start,
// configuration, addresses and faults (kill -9, SIGSTOP, restart, and network faults by fake/faultnet), and what can be
// observed of them (log, memory, processor time, views of the fleet).
//
// It uses only loopback addresses, leaves no process behind and never waits without a bound. An instance's log is limited
// to 1 MiB and a fleet to 250 names. A Fleet is used from one goroutine.
package rig
