package main

import (
	"errors"
	"os"
	"runtime"

	"go.uber.org/zap"

	"thymechute/internal/config"
	"thymechute/policy/settings"
)

// errApplyPanicked is the error of a reload during which apply panicked. The loop logs the panic itself.
var errApplyPanicked = errors.New("panic while applying the new configuration")

// reloader reads the configuration again, and passes the difference between its settings and those in effect to the loop. It
// runs on a goroutine of its own, so that a file that is large or slow to read does not block the loop. It starts a reload only
// when the loop has applied or rejected the previous one.
type reloader struct {
	settings settings.Settings // in effect
	version  uint64            // of settings
	post     func(func())      // runs a function on the loop, without waiting for it
	apply    func(config.Config, settings.Delta) error
	log      *zap.Logger
}

// run reloads the configuration for each request, until the channel is closed. If the configuration is invalid or apply rejects
// it, the error is logged and the current configuration stays in effect.
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
	withoutSettings.Settings = settings.Settings{} // the loop receives only the delta
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

// deltaFields returns the log fields that describe an applied delta.
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
