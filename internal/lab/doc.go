// Package lab holds the experiments: the real program and stand-ins on loopback (lab/rig), bounded in count and time, each
// with a claim that it holds or not. It must never print a figure that was not measured in its own run, nor leave a process
// behind.
package lab
