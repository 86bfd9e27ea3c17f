package main

import (
	"errors"
	"os"
	"runtime"

	"go.uber.org/zap"

	"thymechute/internal/config"
	"thymechute/policy/settings"
)

// errApplyPanicked is the result of a reload whose apply panicked; the loop logs the panic itself.
var errApplyPanicked = errors.New("settings: found a panic, expected none")

// reloader reads the configuration again and passes its difference from the settings in effect to the loop. It runs on a
// goroutine of its own, so that a file that is large or slow to read does not block the loop. It reads the next file only
// once the loop has applied or rejected the one before.
type reloader struct {
	settings settings.Settings // in effect
	version  uint64            // of settings
	post     func(func())      // runs a function on the loop
	apply    func(config.Config, settings.Delta) error
	log      *zap.Logger
}

// run reloads at each request, until the channel is closed. A configuration that is invalid, or that apply rejects, is logged and
// has no other effect.
func (r *reloader) run(requests <-chan struct{}) {
	for range requests {
		if err := r.reload(); err != nil {
			r.log.Error("configuration rejected, keeping the current one",
				zap.Error(err), zap.Uint64("current_version", r.version))
		}
	}
}

func (r *reloader) reload() error {
	reloaded, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	delta, err := settings.Compare(r.version, r.settings, reloaded.Settings, runtime.Gosched)
	if err != nil {
		return err
	}
	withoutSettings := reloaded
	withoutSettings.Settings = settings.Settings{} // the loop gets the delta alone
	if err := r.applyOnLoop(withoutSettings, delta); err != nil {
		return err
	}
	if !delta.IsEmpty() {
		r.settings = reloaded.Settings
		r.version = delta.To
	}
	return nil
}

// applyOnLoop calls apply on the loop and waits for its result, which is errApplyPanicked if apply panics.
func (r *reloader) applyOnLoop(reloaded config.Config, delta settings.Delta) error {
	result := make(chan error, 1)
	r.post(func() {
		err := errApplyPanicked
		defer func() { result <- err }()
		err = r.apply(reloaded, delta)
	})
	return <-result
}

// deltaFields returns the log fields of an applied delta.
func deltaFields(delta settings.Delta, version uint64) []zap.Field {
	return []zap.Field{
		zap.Bool("settings_changed", !delta.IsEmpty()),
		zap.Uint64("version", version),
		zap.Int("classes_set", len(delta.Classes.Set)),
		zap.Int("classes_removed", len(delta.Classes.Removed)),
		zap.Int("tenants_set", len(delta.Tenants.Set)),
		zap.Int("tenants_removed", len(delta.Tenants.Removed)),
	}
}
