// Package redelivery decides what happens to a message that a broker delivers again although it has ended here: its settlement
// was lost with the connection, or the broker closed the connection before it processed it.
//
// A message ends in one of two ways. Either its final answer was published, or a copy of it was returned to its queue and now
// stands for it. In both cases the publish comes before the settlement, and a connection that is lost between the two leaves the
// broker with both. The Table remembers the endings of messages and makes sure that of a message and its copy only one goes on.
//
// The Table does no I/O and reads no clock. Its memory is bounded: the oldest endings are forgotten first. A message whose
// ending was forgotten is treated as one that may have been processed by another consumer.
package redelivery
