// Package members measures what membership costs. Hollow members (as in Kubernetes' hollow nodes) are members of
// internal/fleet/membership over memberlist without an instance around them. All members of one fleet size share a process
// of their own, so that its memory and processor time are that size's alone. They listen on loopback only, and no member
// or process outlives its trial.
//
// What is counted is the payload of datagrams and streams, both directions, of all members; IP, UDP and TCP headers and
// handshakes are left out (28 bytes per datagram, 40 and more per segment). Processor time is that of the whole process:
// memberlist, the parsing of records, and the counting. Tables hold one entry per member.
package members
