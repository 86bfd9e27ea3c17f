// This file owns the receipts, which stand before a run. It must never drop the receipt of what ran.

package policy

import (
	"slices"
	"time"
)

// record enters a receipt before the run, so that a repeat of a held one is known too.
func (i *Instance) record(now time.Duration, it *item, w int) {
	b := &i.bands[it.Band]
	life := it.arrived + b.window + 2*margin - now
	if i.receiptKB(it) == 0 || life <= 0 {
		return
	}
	i.dropReceipt(it)
	it.receiptEnds = now + life
	i.receipts = append(i.receipts, it.receiptEnds)
	i.memory += i.server.KeyEntryKB.Or(0)
	i.host.Record(w, life)
}

func (i *Instance) receiptKB(it *item) float64 {
	if i.bands[it.Band].keyed {
		return max(i.server.KeyEntryKB.Or(0), 0.001)
	}
	return 0
}

func (i *Instance) dropReceipt(it *item) {
	if it.receiptEnds != 0 && slices.Contains(i.receipts, it.receiptEnds) {
		i.receipts = without(i.receipts, it.receiptEnds)
		i.memory -= i.server.KeyEntryKB.Or(0)
	}
	it.receiptEnds = 0
}
