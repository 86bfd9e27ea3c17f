// Package members measures the cost of membership. It runs hollow members (compare Kubernetes' hollow nodes): members of
// internal/fleet/membership over memberlist, without the rest of an instance. Each fleet size has its own process, shared by all
// members of the fleet, so that the memory and CPU time of the process are those of that size. Members listen on loopback only, and
// no member or process outlives its trial.
//
// Bytes are the payload of datagrams and streams of all members in both directions, without handshakes and IP, UDP and TCP headers
// (28 bytes per datagram, 40 or more per segment). CPU time is that of the whole process: memberlist, the decoding of records, and
// the counting. Tables have one entry per member.
package members
