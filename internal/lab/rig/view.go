// This file owns what is known of a fleet's members: their logged views, and whether these agree. It must never wait
// without a bound.

package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// View is what one member logged last of its view.
type View struct {
	Rank    int    `json:"rank"`
	Members int    `json:"members"`
	Names   string `json:"names"`
}

// View reads the last "fleet view" line of an instance; false where there is none yet.
func (i *Instance) View() (View, bool) {
	text := i.Log()
	at := strings.LastIndex(text, "\tfleet view\t")
	if at < 0 {
		return View{}, false
	}
	line := text[at+len("\tfleet view\t"):]
	if end := strings.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	var v View
	return v, json.Unmarshal([]byte(line), &v) == nil
}

// Agree waits until each of names holds a view of exactly names, each with a rank, the ranks dense and unique; it
// returns how long that took, or an error with all views after agreeLimit.
func (f *Fleet) Agree(names []string) (time.Duration, error) {
	start := time.Now()
	want := strings.Join(slices.Sorted(slices.Values(names)), ",")
	deadline := time.NewTimer(agreeLimit)
	defer deadline.Stop()
	for {
		ranks := map[int]bool{}
		ok := true
		for _, n := range names {
			v, has := f.members[n].View()
			if !has || v.Names != want || v.Rank < 0 || v.Rank >= len(names) || ranks[v.Rank] {
				ok = false
				break
			}
			ranks[v.Rank] = true
		}
		if ok {
			return time.Since(start), nil
		}
		wake := make(chan struct{}, 1)
		stop := make(chan struct{})
		for _, n := range names {
			go func(i *Instance) {
				select {
				case <-i.wrote:
					select {
					case wake <- struct{}{}:
					default:
					}
				case <-stop:
				}
			}(f.members[n])
		}
		select {
		case <-wake:
			close(stop)
		case <-deadline.C:
			close(stop)
			views := map[string]View{}
			silent := ""
			for _, n := range names {
				var ok bool
				if views[n], ok = f.members[n].View(); !ok {
					text := f.members[n].Log()
					silent += fmt.Sprintf("; %s logged no view, last: %q", n, text[max(len(text)-400, 0):])
				}
			}
			return 0, fmt.Errorf("members %s did not agree within %v: %v%s", want, agreeLimit, views, silent)
		}
	}
}
