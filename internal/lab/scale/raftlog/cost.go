package raftlog

import "time"

// Cost is what one process spent: the leader, or a follower on average.
type Cost struct {
	IdleSent, IdleReceived float64 // bytes per second without entries: heartbeats, and the commit index again
	IdleMessages           float64 // sent per second
	IdleProcessor          float64 // percent of a core
	EntryBytes             float64 // both directions, beyond the idle cost, per entry
	EntryProcessor         float64 // ms, beyond the idle cost, per entry
	Resident               float64 // bytes
}

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
