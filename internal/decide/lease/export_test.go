package lease

// DisableFencing makes a table and a fence accept stale commands. A test uses it to show that its checks detect them.
func DisableFencing(table *Table, fence *Fence) {
	table.isFencingDisabled = true
	fence.isDisabled = true
}
