package lease

// WithoutFencing disables fencing while f runs: the mutation that every check must notice.
func WithoutFencing(f func()) {
	fencingDisabled = true
	defer func() { fencingDisabled = false }()
	f()
}
