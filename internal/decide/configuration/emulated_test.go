package configuration_test

import (
	"errors"
	"testing"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/lab/emulator"
)

func TestEmulatedDayThroughFaults(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := emulator.Configuration(emulator.NewConfigurationDay(48), seed)
		if err := errors.Join(f.Faults()...); err != nil {
			t.Errorf("seed %d: %v\n%+v", seed, err, f)
		}
		if seed > 1 {
			continue
		}
		if again := emulator.Configuration(emulator.NewConfigurationDay(48), seed); again != f {
			t.Errorf("seed %d gives %+v, then %+v", seed, f, again)
		}
	}
}

func TestWithAGuardTakenOutTheEmulatedDayFails(t *testing.T) {
	for name, c := range map[string]struct {
		without func(func())
		seen    func(f emulator.ConfigurationFigures) int
	}{
		"the fence":          {configuration.Unfence, func(f emulator.ConfigurationFigures) int { return f.StaleAccepted }},
		"all or nothing":     {configuration.Tear, func(f emulator.ConfigurationFigures) int { return f.HalfApplied }},
		"the digests' check": {configuration.Uncheck, func(f emulator.ConfigurationFigures) int { return f.HalfApplied }},
	} {
		t.Run(name, func(t *testing.T) {
			c.without(func() {
				seen := 0
				for seed := uint64(1); seed <= 3; seed++ {
					f := emulator.Configuration(emulator.NewConfigurationDay(48), seed)
					seen += c.seen(f)
					if c.seen(f) > 0 && len(f.Faults()) == 0 {
						t.Error("seen, but the run's claim holds")
					}
				}
				if seen == 0 {
					t.Errorf("with %s taken out the emulated day sees nothing", name)
				}
			})
		})
	}
}

func TestMemoryOfAMember(t *testing.T) {
	day := emulator.NewConfigurationDay(1200)
	state, history := emulator.ConfigurationMemory(day)
	t.Logf("%d bytes for %d resources, %d for the history", state, day.Tenants+day.Routes, history)
	if state > 16<<20 || history > 6<<20 {
		t.Errorf("%d bytes for the state, %d for the history; expected 16 MB and 6 MB at most", state, history)
	}
}
