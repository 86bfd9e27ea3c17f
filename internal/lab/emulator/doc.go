// Package emulator runs the decision packages of a fleet without sockets, at sizes that processes on one machine cannot
// reach. Scripts and simulated links take the place of the network. The same seed gives the same run. cmd/thymechute must
// not import this package.
package emulator
