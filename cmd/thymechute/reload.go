// Reading the configuration again: this file owns which settings are in force, and turns a whole file into what differs.
// It must never do any of this on the loop, which gets the difference alone, nor start on the next file before the loop
// has taken or refused this one.

package main

import (
	"errors"
	"os"
	"runtime"

	"go.uber.org/zap"

	"thymechute/internal/config"
	"thymechute/policy/settings"
)

// inForce is what the next file is compared with. One goroutine has it.
type inForce struct {
	settings settings.Settings
	version  uint64
}

// errNotTaken is of a change in the middle of which the loop panicked, which has a line of its own.
var errNotTaken = errors.New("settings: found a panic, expected none")

// reloads reads the file again at each signal, and hands what differs to take on the loop. It has a goroutine of its own:
// a file that is slow to read, or long, must not keep the loop from what it does, also where they share a core. A file
// that is faulty, or refused by take, is refused whole in one line.
func (f *inForce) reloads(hups <-chan os.Signal, onLoop func(func()), take func(config.Config, settings.Delta) error, log *zap.Logger) {
	for range hups {
		if err := f.reload(onLoop, take); err != nil {
			log.Error("configuration not taken, the old one stays", zap.Error(err), zap.Uint64("version in force", f.version))
		}
	}
}

func (f *inForce) reload(onLoop func(func()), take func(config.Config, settings.Delta) error) error {
	later, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	delta, err := settings.Compare(f.version, f.settings, later.Settings, runtime.Gosched)
	if err != nil {
		return err
	}
	given := later
	given.Settings = settings.Settings{} // the loop has no use for them
	taken := make(chan error, 1)
	onLoop(func() {
		err := errNotTaken
		defer func() { taken <- err }() // also where take panics: the loop goes on, and so must the next file
		err = take(given, delta)
	})
	if err := <-taken; err != nil {
		return err
	}
	if !delta.IsEmpty() {
		f.settings, f.version = later.Settings, delta.To
	}
	return nil
}

// changed are the fields of the log for a delta that was taken.
func changed(d settings.Delta, version uint64) []zap.Field {
	return []zap.Field{zap.Bool("settings", !d.IsEmpty()), zap.Uint64("version", version),
		zap.Int("classes set", len(d.Classes.Set)), zap.Int("classes removed", len(d.Classes.Removed)),
		zap.Int("tenants set", len(d.Tenants.Set)), zap.Int("tenants removed", len(d.Tenants.Removed))}
}
