// Package rig runs the program as processes on loopback for the experiments of internal/lab. It configures and starts them, injects
// faults (kill -9, SIGSTOP, restart, and network faults by fake/faultnet) and observes their logs, memory, CPU time and views of the
// fleet.
//
// Processes are killed by Close, Kill or Drain, and with the thread that started them. All waits have a timeout, except that for a
// killed process to end. An instance's log is limited to about 1 MiB, and a fleet to 250 names. A Fleet is not safe for concurrent
// use.
package rig
