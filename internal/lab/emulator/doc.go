// Package emulator runs the fleet's decision packages without sockets, at sizes that processes on one machine do not
// reach: the views and messages that the network would deliver are played from a script. The same seed gives the same
// run. It is never linked by cmd/thymechute.
package emulator
