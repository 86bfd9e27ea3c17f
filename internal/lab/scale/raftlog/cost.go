package raftlog

import (
	"time"

	"thymechute/internal/lab/scale"
)

// Usage is what a process has spent up to one moment. It is sent from a child to its parent as JSON.
type Usage struct {
	Sent            int64   `json:"Sent"` // bytes
	Received        int64   `json:"Received"`
	Writes          int64   `json:"Writes"` // calls of Write: about one per message
	ProcessorMillis float64 `json:"ProcessorMillis"`
	Resident        float64 `json:"Resident"` // bytes
}

// newUsage joins the counts of a process's connections with its CPU time and memory.
func newUsage(counts scale.ConnCounts, process scale.Usage) Usage {
	return Usage{
		Sent:            counts.SentBytes,
		Received:        counts.ReceivedBytes,
		Writes:          counts.Writes,
		ProcessorMillis: scale.Milliseconds(process.CPU),
		Resident:        float64(process.ResidentBytes),
	}
}

// since returns the usage after an earlier moment; the memory is the present one.
func (u Usage) since(before Usage) Usage {
	u.Sent -= before.Sent
	u.Received -= before.Received
	u.Writes -= before.Writes
	u.ProcessorMillis -= before.ProcessorMillis
	return u
}

// Cost is what one process spent: the leader, or a follower on average.
type Cost struct {
	IdleSent, IdleReceived float64 // bytes per second without entries: heartbeats, and the commit index again
	IdleMessages           float64 // sent per second
	IdleProcessor          float64 // percent of a core
	EntryBytes             float64 // both directions, beyond the idle cost, per entry
	EntryProcessor         float64 // ms, beyond the idle cost, per entry
	Resident               float64 // bytes
}

// idleBytes is the idle traffic in both directions, in bytes per second.
func (c Cost) idleBytes() float64 { return c.IdleSent + c.IdleReceived }

// costInput is the usage of processes that share a meter, before and after an idle and a loaded period.
type costInput struct {
	start, idle, loaded      Usage
	idlePeriod, loadedPeriod time.Duration
	entries                  int // in the loaded period
	processes                int
}

// cost returns the average of one process, without its memory.
func (in costInput) cost() Cost {
	idle, loaded := in.idle.since(in.start), in.loaded.since(in.idle)
	idleSeconds, processes, entries := in.idlePeriod.Seconds(), float64(in.processes), float64(in.entries)
	periodRatio := in.loadedPeriod.Seconds() / idleSeconds
	extraBytes := float64(loaded.Sent+loaded.Received) - periodRatio*float64(idle.Sent+idle.Received)
	extraProcessor := loaded.ProcessorMillis - periodRatio*idle.ProcessorMillis
	return Cost{
		IdleSent:       float64(idle.Sent) / idleSeconds / processes,
		IdleReceived:   float64(idle.Received) / idleSeconds / processes,
		IdleMessages:   float64(idle.Writes) / idleSeconds / processes,
		IdleProcessor:  idle.ProcessorMillis / idleSeconds / 10 / processes,
		EntryBytes:     extraBytes / entries / processes,
		EntryProcessor: extraProcessor / entries / processes,
	}
}
