package configuration_test

import (
	"errors"
	"testing"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/lab/emulator"
)

func TestEmulatedScenarioWithFaults(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		result := emulator.RunConfiguration(emulator.NewConfigurationScenario(48), seed)
		if err := errors.Join(result.Violations()...); err != nil {
			t.Errorf("seed %d: %v\n%+v", seed, err, result)
		}
		if seed > 1 {
			continue
		}
		if again := emulator.RunConfiguration(emulator.NewConfigurationScenario(48), seed); again != result {
			t.Errorf("seed %d: the first run gives %+v, the second %+v, expected equal results", seed, result, again)
		}
	}
}

func TestEmulatedScenarioDetectsEachRemovedSafeguard(t *testing.T) {
	for name, c := range map[string]struct {
		onStart  emulator.ConfigurationStartHooks
		detected func(result emulator.ConfigurationResult) int
	}{
		"fencing":      {emulator.ConfigurationStartHooks{Store: configuration.DisableFencing}, func(result emulator.ConfigurationResult) int { return result.StaleAccepted }},
		"atomic apply": {emulator.ConfigurationStartHooks{Member: configuration.DisableAtomicity}, func(result emulator.ConfigurationResult) int { return result.PartiallyApplied }},
		"digest check": {emulator.ConfigurationStartHooks{Member: configuration.DisableDigestCheck}, func(result emulator.ConfigurationResult) int { return result.PartiallyApplied }},
	} {
		t.Run(name, func(t *testing.T) {
			scenario := emulator.NewConfigurationScenario(48)
			scenario.OnStart = c.onStart
			detected := 0
			for seed := uint64(1); seed <= 3; seed++ {
				result := emulator.RunConfiguration(scenario, seed)
				detected += c.detected(result)
				if c.detected(result) > 0 && len(result.Violations()) == 0 {
					t.Error("a check counted a fault, but the result reports no violation")
				}
			}
			if detected == 0 {
				t.Errorf("without the safeguard %q the emulated scenario detects no fault", name)
			}
		})
	}
}

func TestMemberMemoryIsBounded(t *testing.T) {
	scenario := emulator.NewConfigurationScenario(1200)
	state, history := emulator.MeasureConfigurationMemory(scenario)
	t.Logf("state: %d bytes for %d resources; history: %d bytes", state, scenario.Tenants+scenario.Routes, history)
	if state > 16<<20 || history > 6<<20 {
		t.Errorf("state: %d bytes, history: %d bytes, expected at most 16 MB and 6 MB", state, history)
	}
}
