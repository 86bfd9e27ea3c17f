package raftlog

import (
	"time"

	"thymechute/internal/lab/scale"
)

// Usage is the resource usage of a process so far. A child sends it to its parent as JSON.
type Usage struct {
	SentBytes     int64   `json:"Sent"`
	ReceivedBytes int64   `json:"Received"`
	Writes        int64   `json:"Writes"` // calls of Write, about one per message
	CPUMillis     float64 `json:"ProcessorMillis"`
	ResidentBytes float64 `json:"Resident"`
}

// newUsage combines the counts of a process's connections with its CPU time and memory.
func newUsage(counts scale.ConnCounts, process scale.Usage) Usage {
	return Usage{
		SentBytes:     counts.SentBytes,
		ReceivedBytes: counts.ReceivedBytes,
		Writes:        counts.Writes,
		CPUMillis:     scale.Milliseconds(process.CPU),
		ResidentBytes: float64(process.ResidentBytes),
	}
}

// since returns the usage after an earlier one. The memory is the current one.
func (u Usage) since(before Usage) Usage {
	u.SentBytes -= before.SentBytes
	u.ReceivedBytes -= before.ReceivedBytes
	u.Writes -= before.Writes
	u.CPUMillis -= before.CPUMillis
	return u
}

// Cost is the resource usage of one server: the leader, or the average follower.
type Cost struct {
	IdleSentPerSecond, IdleReceivedPerSecond float64 // bytes without entries: heartbeats and repeated commit indexes
	IdleMessagesPerSecond                    float64 // sent
	IdleCPUPercent                           float64 // of one core
	EntryBytes                               float64 // per entry, both directions, without the idle cost
	EntryCPUMillis                           float64 // per entry, without the idle cost
	ResidentBytes                            float64
}

// idleBytesPerSecond returns the idle traffic in both directions.
func (c Cost) idleBytesPerSecond() float64 { return c.IdleSentPerSecond + c.IdleReceivedPerSecond }

// usageSamples are the usage of a process that runs one or more servers: at the start, after an idle and after a loaded period.
type usageSamples struct {
	start, idle, loaded      Usage
	idlePeriod, loadedPeriod time.Duration
	entries                  int // in the loaded period
	servers                  int
}

// costPerServer returns the average cost of one server, without its memory.
func (in usageSamples) costPerServer() Cost {
	idle, loaded := in.idle.since(in.start), in.loaded.since(in.idle)
	idleSeconds, servers, entries := in.idlePeriod.Seconds(), float64(in.servers), float64(in.entries)
	periodRatio := in.loadedPeriod.Seconds() / idleSeconds
	extraBytes := float64(loaded.SentBytes+loaded.ReceivedBytes) - periodRatio*float64(idle.SentBytes+idle.ReceivedBytes)
	extraCPUMillis := loaded.CPUMillis - periodRatio*idle.CPUMillis
	return Cost{
		IdleSentPerSecond:     float64(idle.SentBytes) / idleSeconds / servers,
		IdleReceivedPerSecond: float64(idle.ReceivedBytes) / idleSeconds / servers,
		IdleMessagesPerSecond: float64(idle.Writes) / idleSeconds / servers,
		IdleCPUPercent:        idle.CPUMillis / idleSeconds / 10 / servers,
		EntryBytes:            extraBytes / entries / servers,
		EntryCPUMillis:        extraCPUMillis / entries / servers,
	}
}
