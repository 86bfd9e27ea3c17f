package lease

// Fence rejects stale decisions: it records the highest fencing token and log index acted on for each duty. The zero value
// has admitted nothing. One Fence is kept for the lifetime of a process, across changes of the lease holder. After a restart
// the process begins with an empty Fence and refills it from the log, which contains every decision.
type Fence struct {
	watermarks map[string]watermark // by duty
	isDisabled bool                 // set only by tests, to show that their checks detect missing fencing
}

// watermark is the token and index of the last decision admitted.
type watermark struct{ token, index uint64 }

// Admit reports whether a decision may be acted on, and records it if so. It rejects a token lower than the highest one
// admitted, an index at or below the last one, and any further duty once it holds MaxDuties.
func (f *Fence) Admit(duty string, token, index uint64) bool {
	last, isKnown := f.watermarks[duty]
	if !f.isDisabled && (token < last.token || index <= last.index) {
		return false
	}
	if f.watermarks == nil {
		f.watermarks = map[string]watermark{}
	}
	if !isKnown && len(f.watermarks) >= MaxDuties {
		return false
	}
	f.watermarks[duty] = watermark{token, index}
	return true
}
