// This file owns the messages' bytes: a kind, fields as varints and fixed digests, and a checksum of 32 bits at the end.

package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	kindHello byte = 1 + iota
	kindHead
	kindDelta
	kindSums
	kindGroups
	kindBuckets
	kindFill
	kindRefer
	kindCommand
)

const checksumSize = 4

type writer struct{ b []byte }

// Append puts a message's bytes behind b.
func Append(b []byte, m Message) []byte {
	w := writer{b}
	m.encode(&w)
	return binary.LittleEndian.AppendUint32(w.b, uint32(xxhash.Sum64(w.b[len(b):])))
}

// Encode is a command's bytes, for the log.
func (c Command) Encode() []byte {
	w := writer{[]byte{kindCommand}}
	w.version(c.Base)
	w.version(c.Version)
	w.changes(c.Version, c.Changes)
	return binary.LittleEndian.AppendUint32(w.b, uint32(xxhash.Sum64(w.b)))
}

func (w *writer) byte(b byte)       { w.b = append(w.b, b) }
func (w *writer) number(n uint64)   { w.b = binary.AppendUvarint(w.b, n) }
func (w *writer) digest(d uint64)   { w.b = binary.LittleEndian.AppendUint64(w.b, d) }
func (w *writer) short(d uint32)    { w.b = binary.LittleEndian.AppendUint32(w.b, d) }
func (w *writer) version(v Version) { w.number(v.Token); w.number(v.Counter) }

func (w *writer) text(s string) {
	w.number(uint64(len(s)))
	w.b = append(w.b, s...)
}

func (w *writer) at(a At) {
	w.version(a.Version)
	w.digest(a.Root)
	w.number(uint64(max(a.Age, 0).Milliseconds()))
}

// Bits of the byte that a resource begins with, over its type.
const (
	bitRemoved = 1 << 7
	bitVersion = 1 << 6 // its version follows; otherwise it is the message's
)

func (w *writer) resource(at Version, r *Resource, removed bool) {
	first := byte(r.Type)
	if removed {
		first |= bitRemoved
	}
	if r.Version != at {
		first |= bitVersion
	}
	w.byte(first)
	if r.Version != at {
		w.version(r.Version)
	}
	w.text(r.Name)
	if !removed {
		w.text(r.Body)
	}
}

func (w *writer) changes(at Version, changes []Change) {
	w.number(uint64(len(changes)))
	for _, c := range changes {
		w.resource(at, c.Resource, c.Removed)
	}
}

func (m Hello) encode(w *writer) {
	w.byte(kindHello)
	w.version(m.Version)
	w.digest(m.Root)
}

func (m Head) encode(w *writer) {
	w.byte(kindHead)
	w.at(m.At)
	if m.Repair {
		w.byte(1)
	} else {
		w.byte(0)
	}
}

func (m Delta) encode(w *writer) {
	w.byte(kindDelta)
	w.at(m.At)
	w.version(m.From)
	w.changes(m.Version, m.Changes)
}

func (m Sums) encode(w *writer) {
	w.byte(kindSums)
	for _, s := range m.Groups {
		w.short(s)
	}
}

func (m Groups) encode(w *writer) {
	w.byte(kindGroups)
	w.at(m.At)
	w.number(uint64(len(m.Groups)))
	for _, g := range m.Groups {
		w.byte(g.Group)
		for _, s := range g.Buckets {
			w.short(s)
		}
	}
}

func (m Buckets) encode(w *writer) {
	w.byte(kindBuckets)
	w.number(uint64(len(m.Buckets)))
	for _, b := range m.Buckets {
		w.number(uint64(b.Bucket))
		w.shorts(b.Digests)
	}
}

func (w *writer) shorts(digests []uint32) {
	w.number(uint64(len(digests)))
	for _, d := range digests {
		w.short(d)
	}
}

func (m Fill) encode(w *writer) {
	w.byte(kindFill)
	w.at(m.At)
	w.number(uint64(len(m.Buckets)))
	for _, b := range m.Buckets {
		w.number(uint64(b.Bucket))
		w.shorts(b.Drop)
		w.number(uint64(len(b.Add)))
		for _, r := range b.Add {
			w.resource(m.Version, r, false)
		}
	}
}

func (m Refer) encode(w *writer) { w.byte(kindRefer) }
