package raftlog

import (
	"encoding/json"
	"fmt"
	"time"
)

// operation is what a parent asks of a child.
type operation string

const (
	opStart   operation = "start"   // replicas in the child
	opAdd     operation = "add"     // servers, at the leader
	opPropose operation = "propose" // entries
	opRead    operation = "read"    // the child's usage
	opApplied operation = "applied" // how far the child's replicas are
	opElect   operation = "elect"   // run elections
)

// request is one JSON object from the parent.
type request struct {
	Operation operation `json:"Do"`
	// Count is of replicas (opStart) or of entries (opPropose).
	Count int `json:"Count"`
	// Bootstrap says that the first replica starts a new log (opStart).
	Bootstrap        bool          `json:"Found"`
	HeartbeatTimeout time.Duration `json:"Beat"` // opStart
	// Tenants is the size of the state, with routes in proportion; 0 for no state (opStart).
	Tenants int    `json:"State"`
	Peers   []Peer `json:"Peers"` // opAdd
	// Voters is how many of Peers vote, the first ones (opAdd).
	Voters int `json:"Voters"`
	// Interval is the time between two entries; 0: as fast as they are taken (opPropose).
	Interval      time.Duration `json:"Every"`
	BodyBytes     int           `json:"Bytes"`   // of an entry (opPropose)
	CollectMemory bool          `json:"Collect"` // first (opRead)
	DelayFactor   float64       `json:"Factor"`  // opElect
}

// response is the answer to a request.
type response struct {
	Error        string   `json:"Error"`
	Peers        []Peer   `json:"Peers"`
	Usage        Usage    `json:"Reading"`
	Applied      uint64   `json:"Applied"` // by the slowest replica
	DecodedBytes int64    `json:"Decoded"` // of state that the last replica restored
	StateBytes   int      `json:"State"`
	Election     Election `json:"Election"`
}

// childError is an error that a child reported.
type childError struct {
	operation operation
	message   string
}

func (e *childError) Error() string {
	return fmt.Sprintf("raftlog child: %s: %s", e.operation, e.message)
}

// roundTrip sends a request and waits for its response.
func roundTrip(requests *json.Encoder, responses *json.Decoder, r request) (response, error) {
	var reply response
	if err := requests.Encode(r); err != nil {
		return reply, fmt.Errorf("raftlog child: send: %w", err)
	}
	if err := responses.Decode(&reply); err != nil {
		return reply, fmt.Errorf("raftlog child: receive: %w", err)
	}
	if reply.Error != "" {
		return reply, &childError{r.Operation, reply.Error}
	}
	return reply, nil
}
