package settingsjson

import (
	"fmt"
	"hash/maphash"

	"thymechute/policy/settings"
)

// nameChecker checks the names of one list: each at most settings.MaxNameBytes long, and none twice.
type nameChecker struct {
	decoder  *decoder
	list     string                 // its key
	contains func(name string) bool // exact, but takes the time of the whole list
	digests  nameDigests
}

func newNameChecker(d *decoder, list string, contains func(name string) bool) nameChecker {
	return nameChecker{decoder: d, list: list, contains: contains, digests: newNameDigests()}
}

// check records the error of a name that is too long or not unique in the list. Entries without a name are allowed.
func (c nameChecker) check(index int, name string) {
	if name == "" {
		return
	}
	if len(name) > settings.MaxNameBytes {
		c.decoder.fail(c.key(index), fmt.Sprint(len(name), " bytes"), fmt.Sprintf("at most %d", settings.MaxNameBytes))
	}
	if c.digests.add(name) && c.contains(name) {
		c.decoder.fail(c.key(index), fmt.Sprintf("%.60q a second time", name), "a name that stands once")
	}
}

func (c nameChecker) key(index int) string { return fmt.Sprintf("%s.%d.name", c.list, index) }

// nameDigests is a set of the hashes of names. Adding to it takes a third of the time of a set of strings.
type nameDigests struct {
	seed maphash.Seed
	seen map[uint64]struct{}
}

func newNameDigests() nameDigests {
	return nameDigests{seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
}

// add adds a name and reports whether it was present. With hashes of 64 bits a false positive is possible, but rare.
func (d nameDigests) add(name string) (wasPresent bool) {
	digest := maphash.String(d.seed, name)
	_, wasPresent = d.seen[digest]
	d.seen[digest] = struct{}{}
	return wasPresent
}
