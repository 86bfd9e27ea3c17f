// This file owns the key entries, which stand before a run. It must never drop the key entry of what ran.

package policy

import (
	"slices"
	"time"
)

// record enters a key entry before the run, so that a repeat of a held one is known too.
func (i *Instance) record(now time.Duration, it *item, w RequestID) {
	b := &i.classes[it.Class]
	life := it.arrived + b.window + 2*margin - now
	if i.entryKB(it) == 0 || life <= 0 {
		return
	}
	i.dropEntry(it)
	it.entryEnds = now + life
	i.entries = append(i.entries, it.entryEnds)
	i.memory += i.server.KeyEntryKB.Or(0)
	i.host.RecordKey(w, life)
}

func (i *Instance) entryKB(it *item) float64 {
	if i.classes[it.Class].keyed {
		return max(i.server.KeyEntryKB.Or(0), 0.001)
	}
	return 0
}

func (i *Instance) dropEntry(it *item) {
	if it.entryEnds != 0 && slices.Contains(i.entries, it.entryEnds) {
		i.entries = without(i.entries, it.entryEnds)
		i.memory -= i.server.KeyEntryKB.Or(0)
	}
	it.entryEnds = 0
}
