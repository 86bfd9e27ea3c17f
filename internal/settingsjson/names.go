package settingsjson

import (
	"fmt"
	"hash/maphash"

	"thymechute/policy/settings"
)

// nameChecker checks that the names in one list are unique and at most settings.MaxNameBytes long.
type nameChecker struct {
	decoder  *decoder
	list     string                 // key of the list
	contains func(name string) bool // exact, but searches the whole list
	hashes   nameHashSet
}

func newNameChecker(d *decoder, list string, contains func(name string) bool) nameChecker {
	return nameChecker{decoder: d, list: list, contains: contains, hashes: newNameHashSet()}
}

// check records an error if a name is too long or not unique in the list. Any number of entries may have no name.
func (c nameChecker) check(index int, name string) {
	if name == "" {
		return
	}
	if len(name) > settings.MaxNameBytes {
		c.decoder.fail(c.key(index), fmt.Sprint(len(name), " bytes"), fmt.Sprintf("at most %d bytes", settings.MaxNameBytes))
	}
	if c.hashes.add(name) && c.contains(name) {
		c.decoder.fail(c.key(index), fmt.Sprintf("%.60q a second time", name), "a unique name")
	}
}

func (c nameChecker) key(index int) string { return fmt.Sprintf("%s.%d.name", c.list, index) }

// nameHashSet is a set of hashes of names. Adding a name takes a third of the time that a set of strings takes.
type nameHashSet struct {
	seed maphash.Seed
	seen map[uint64]struct{}
}

func newNameHashSet() nameHashSet {
	return nameHashSet{seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
}

// add adds a name and reports whether it was present. The hashes have 64 bits, so false positives are possible but rare.
func (s nameHashSet) add(name string) (wasPresent bool) {
	hash := maphash.String(s.seed, name)
	_, wasPresent = s.seen[hash]
	s.seen[hash] = struct{}{}
	return wasPresent
}
