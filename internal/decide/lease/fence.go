package lease

// Fence admits decisions in order: it keeps, per duty, the highest token and index acted on. The zero value has admitted
// nothing. It outlives changes of the holder but not the process: a restarted process starts with an empty fence and
// fills it from the log, which has every decision.
type Fence struct {
	watermarks map[string]watermark // by duty
	isDisabled bool                 // set by tests alone, to prove that their checks detect it
}

type watermark struct{ token, index uint64 }

// Admit reports whether a decision may be acted on, and records it if so. It rejects a token lower than the highest, an
// index that is not above the last, and a new duty past MaxDuties.
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
