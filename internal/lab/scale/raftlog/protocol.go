package raftlog

import (
	"encoding/json"
	"fmt"
	"time"
)

// operation is what a parent requests of its child.
type operation string

const (
	opStart   operation = "start"   // start replicas in the child
	opAdd     operation = "add"     // add servers, at the leader
	opPropose operation = "propose" // propose entries, at the leader
	opUsage   operation = "read"    // report the child's usage
	opApplied operation = "applied" // report how far the child's replicas have applied the log
	opElect   operation = "elect"   // run the elections of one fleet
)

// request is a request from the parent to a child, encoded as one JSON object.
type request struct {
	Operation operation `json:"Do"`
	// Count is the number of replicas (opStart) or of entries (opPropose).
	Count int `json:"Count"`
	// Bootstrap makes the first replica start a new log (opStart).
	Bootstrap        bool          `json:"Found"`
	HeartbeatTimeout time.Duration `json:"Beat"` // opStart
	// Tenants is the size of the state, with a proportional number of routes; 0 for no state (opStart).
	Tenants int    `json:"State"`
	Peers   []Peer `json:"Peers"` // opAdd
	// Voters is the number of Peers, the first ones, that are added as voters (opAdd).
	Voters int `json:"Voters"`
	// Interval is the time between two entries; 0 for no pause (opPropose).
	Interval       time.Duration `json:"Every"`
	BodyBytes      int           `json:"Bytes"`   // size of an entry's body (opPropose)
	CollectGarbage bool          `json:"Collect"` // before usage is read (opUsage)
	DelayFactor    float64       `json:"Factor"`  // opElect
}

// response is a child's response to a request.
type response struct {
	Error        string         `json:"Error"`
	Peers        []Peer         `json:"Peers"`
	Usage        Usage          `json:"Reading"`
	Applied      uint64         `json:"Applied"` // index applied by the slowest replica
	DecodedBytes int64          `json:"Decoded"` // size of the state that the last replica restored
	StateBytes   int            `json:"State"`
	Election     ElectionResult `json:"Election"`
}

// childError is an error reported by a child.
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
