package lease

// DisableFencing makes a table and a fence accept stale commands, which a check of the caller must detect.
func DisableFencing(table *Table, fence *Fence) {
	table.isFencingDisabled = true
	fence.isDisabled = true
}
