// This file owns the script that each row goes through: the order of its loads and reloads.

package instance

import (
	"bytes"
	"fmt"
	"math"
	"time"
)

// script is one row on its way. The two texts are the whole file before and after the change of one tenant or class.
type script struct {
	m       *measuring
	rig     *rig
	probe   *probe
	row     *row
	texts   [2][]byte
	limited [2]bool // whether the last tenant's limit acts, by text
	now     int     // the text in force
	reloads int
}

func (s *script) prepare(change func(*deployment)) (err error) {
	before, after := s.rig.deployment, s.rig.deployment
	change(&after)
	s.limited = [2]bool{before.limited, after.limited}
	if s.texts[0], err = before.text(); err != nil {
		return err
	}
	s.texts[1], err = after.text()
	s.row.fileBytes = len(s.texts[0])
	return err
}

func (s *script) run(loaded bool) error {
	_, err := s.probe.until(s.m.ctx, true, startProbe)
	s.row.limitAtStart = err == nil
	if loaded {
		if err := s.quietLoads(); err != nil {
			return err
		}
	}
	if err := s.firstReload(); err != nil || !s.row.whole() {
		return err
	}
	steps := []func() error{s.probedReloads, s.manyReloads, s.oddFiles}
	if loaded {
		steps = []func() error{s.probedReloads, s.reloadingLoads, s.manyReloads, s.oddFiles}
	}
	for _, step := range steps {
		if err := step(); err != nil || !s.row.whole() {
			return err
		}
	}
	return nil
}

func (s *script) quietLoads() error {
	for _, rate := range s.m.sizes.rates {
		a, err := s.rig.load(s.m.ctx, rate, s.m.sizes.quiet, s.m.seed(), nil)
		if err != nil {
			return err
		}
		s.row.quiet[rate] = a.all()
		s.row.unserved += a.unserved()
		s.row.sent += len(a.samples)
		s.row.late = max(s.row.late, a.samples.SendDelays().Percentile(99))
	}
	return nil
}

// other is the text that is not in force.
func (s *script) other() []byte { return s.texts[1-s.now] }

// took counts a reload, and ends the row where it was not taken.
func (s *script) took(one reload) {
	s.reloads++
	switch one.outcome {
	case taken:
		s.now = 1 - s.now
	case silent:
		s.row.fault = fmt.Sprintf("no word of a reload in %v", reloadLimit)
	case refused:
		s.row.fault = fmt.Sprintf("a reload was refused after %.0f ms", one.took())
	}
	if one.outcome == taken && one.took() > milliseconds(slowReload) {
		s.row.fault = fmt.Sprintf("a reload took %.0f ms", one.took())
	}
}

// firstReload is made beside a load, so that what waits for it is seen also where it is never taken.
func (s *script) firstReload() error {
	a, err := s.rig.whileLoaded(s.m.ctx, reloadRate, s.m.sizes.single, s.m.seed(), func() (err error) {
		s.row.first, err = s.rig.put(s.m.ctx, s.other())
		return err
	})
	if err != nil {
		return err
	}
	s.took(s.row.first)
	s.row.waits = a.beside([]reload{s.row.first})
	s.row.resident1, err = s.rig.resident()
	return err
}

// probedReloads goes back and forth; where it is a limit that changes, a probe shows each change acting.
func (s *script) probedReloads() (err error) {
	for s.reloads < probed {
		one, acting, err := s.probedReload()
		if err != nil {
			return err
		}
		if s.took(one); !s.row.whole() {
			return nil
		}
		s.row.logged = append(s.row.logged, one.took())
		if !acting.IsZero() {
			s.row.inForce = append(s.row.inForce, max(one.took(), milliseconds(acting.Sub(one.sent))))
		}
	}
	s.row.resident5, err = s.rig.resident()
	return err
}

// probedReload is one; acting is when the probe saw it, zero without one.
func (s *script) probedReload() (one reload, acting time.Time, err error) {
	if s.limited[0] == s.limited[1] {
		one, err = s.rig.put(s.m.ctx, s.other())
		return one, acting, err
	}
	wanted, probed := s.limited[1-s.now], make(chan error, 1)
	go func() {
		var err error
		acting, err = s.probe.until(s.m.ctx, wanted, reloadLimit)
		probed <- err
	}()
	one, err = s.rig.put(s.m.ctx, s.other())
	if probeErr := <-probed; err == nil && one.outcome == taken {
		err = probeErr
	}
	return one, acting, err
}

// reloadingLoads has a reload each second beside each load.
func (s *script) reloadingLoads() error {
	for _, rate := range s.m.sizes.rates {
		var reloads []reload
		a, err := s.rig.whileLoaded(s.m.ctx, rate, s.m.sizes.reloading, s.m.seed(), func() (err error) {
			reloads, err = s.rig.every(s.m.ctx, reloadsEach, s.m.sizes.reloading, [2][]byte{s.other(), s.texts[s.now]})
			return err
		})
		if err != nil {
			return err
		}
		for _, one := range reloads {
			s.took(one)
		}
		s.row.reloading[rate] = a.all()
		s.row.waits.Merge(a.beside(reloads))
		s.row.late = max(s.row.late, a.samples.SendDelays().Percentile(99))
	}
	return nil
}

// manyReloads goes on to the last of them with nothing beside them, and takes the processor time of one.
func (s *script) manyReloads() error {
	before, from := s.rig.processor(), s.reloads
	for begin := time.Now(); s.reloads < s.m.sizes.reloads && time.Since(begin) < manyLimit; {
		one, err := s.rig.put(s.m.ctx, s.other())
		if err != nil {
			return err
		}
		if s.took(one); !s.row.whole() {
			return nil
		}
	}
	s.row.processor = milliseconds(s.rig.processor()-before) / float64(s.reloads-from)
	resident, err := s.rig.resident()
	if s.row.resident20 = resident; s.reloads < s.m.sizes.reloads {
		s.row.resident20 = math.NaN() // after fewer
	}
	return err
}

// oddFiles puts a file that is the same, and one that is cut off, beside a load.
func (s *script) oddFiles() error {
	a, err := s.rig.whileLoaded(s.m.ctx, reloadRate, s.m.sizes.single, s.m.seed(), func() (err error) {
		if s.row.same, err = s.rig.put(s.m.ctx, s.texts[s.now]); err != nil {
			return err
		}
		s.row.faulty, err = s.rig.put(s.m.ctx, bytes.TrimSuffix(s.texts[1-s.now], []byte("}")))
		return err
	})
	if err != nil {
		return err
	}
	s.row.oddWaits = a.beside([]reload{s.row.same, s.row.faulty})
	return s.checkOdd()
}

// checkOdd: a faulty file is refused whole, and the limit of before goes on.
func (s *script) checkOdd() error {
	if s.row.same.outcome != taken || s.row.faulty.outcome != refused {
		s.m.result.Fault("%d tenants, %d classes: a file that is the same: %q; a faulty one: %q", s.row.tenants, s.row.classes,
			s.row.same.line, s.row.faulty.line)
	}
	if _, err := s.probe.until(s.m.ctx, s.limited[s.now], startProbe); err != nil {
		s.m.result.Fault("%d tenants, %d classes: after a faulty file: %v", s.row.tenants, s.row.classes, err)
	}
	return nil
}
