package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kinds of encoded messages and log entries. The kind is the first byte of an encoding.
const (
	kindPoll byte = 1 + iota
	kindPollReply
	kindDelta
	kindDigestRequest
	kindDigestReply
	kindRepairRequest
	kindRepairReply
	kindReferral
	kindCommand
)

// checksumSize is the size in bytes of the checksum at the end of each encoding.
const checksumSize = 4

// encoder appends fields to a buffer: integers as varints, digests as fixed-size little-endian integers, strings after their
// length.
type encoder struct{ buf []byte }

// AppendMessage appends the encoding of m, which ends with its checksum, to b.
func AppendMessage(b []byte, m Message) []byte {
	e := encoder{b}
	m.encode(&e)
	return appendChecksum(e.buf, e.buf[len(b):])
}

// Encode returns the command's encoding, which ends with its checksum, as an entry of the log.
func (c Command) Encode() []byte {
	e := encoder{[]byte{kindCommand}}
	e.version(c.Base)
	e.version(c.Version)
	e.changes(c.Version, c.Changes)
	return appendChecksum(e.buf, e.buf)
}

// appendChecksum appends the checksum of body to b.
func appendChecksum(b, body []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, checksum(body))
}

func checksum(body []byte) uint32 { return uint32(xxhash.Sum64(body)) }

func (e *encoder) byte(b byte)      { e.buf = append(e.buf, b) }
func (e *encoder) uvarint(n uint64) { e.buf = binary.AppendUvarint(e.buf, n) }
func (e *encoder) uint64(n uint64)  { e.buf = binary.LittleEndian.AppendUint64(e.buf, n) }
func (e *encoder) uint32(n uint32)  { e.buf = binary.LittleEndian.AppendUint32(e.buf, n) }

func (e *encoder) version(v Version) {
	e.uvarint(v.Token)
	e.uvarint(v.Counter)
}

func (e *encoder) string(s string) {
	e.uvarint(uint64(len(s)))
	e.buf = append(e.buf, s...)
}

func (e *encoder) position(p Position) {
	e.version(p.Version)
	e.uint64(p.Root)
	e.uvarint(uint64(max(p.Age, 0).Milliseconds()))
}

// Flags in the first byte of an encoded change, above the resource's type.
const (
	flagRemoved    = 1 << 7
	flagOwnVersion = 1 << 6 // the resource's version follows; without the flag it is the message's version
)

func (e *encoder) change(messageVersion Version, c Change) {
	r := c.Resource
	typeAndFlags := byte(r.Type)
	if c.Removed {
		typeAndFlags |= flagRemoved
	}
	if r.Version != messageVersion {
		typeAndFlags |= flagOwnVersion
	}
	e.byte(typeAndFlags)
	if r.Version != messageVersion {
		e.version(r.Version)
	}
	e.string(r.Name)
	if !c.Removed {
		e.string(r.Body)
	}
}

func (e *encoder) changes(messageVersion Version, changes []Change) {
	e.uvarint(uint64(len(changes)))
	for _, c := range changes {
		e.change(messageVersion, c)
	}
}

func (m Poll) encode(e *encoder) {
	e.byte(kindPoll)
	e.version(m.Version)
	e.uint64(m.Root)
}

func (m PollReply) encode(e *encoder) {
	e.byte(kindPollReply)
	e.position(m.Position)
	if m.NeedsRepair {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

func (m Delta) encode(e *encoder) {
	e.byte(kindDelta)
	e.position(m.Position)
	e.version(m.From)
	e.changes(m.Version, m.Changes)
}

func (m DigestRequest) encode(e *encoder) {
	e.byte(kindDigestRequest)
	for _, digest := range m.Groups {
		e.uint32(digest)
	}
}

func (m DigestReply) encode(e *encoder) {
	e.byte(kindDigestReply)
	e.position(m.Position)
	e.uvarint(uint64(len(m.Groups)))
	for _, g := range m.Groups {
		e.byte(g.Group)
		for _, digest := range g.Buckets {
			e.uint32(digest)
		}
	}
}

func (m RepairRequest) encode(e *encoder) {
	e.byte(kindRepairRequest)
	e.uvarint(uint64(len(m.Buckets)))
	for _, b := range m.Buckets {
		e.uvarint(uint64(b.Bucket))
		e.shortDigests(b.Digests)
	}
}

func (e *encoder) shortDigests(digests []uint32) {
	e.uvarint(uint64(len(digests)))
	for _, digest := range digests {
		e.uint32(digest)
	}
}

func (m RepairReply) encode(e *encoder) {
	e.byte(kindRepairReply)
	e.position(m.Position)
	e.uvarint(uint64(len(m.Buckets)))
	for _, b := range m.Buckets {
		e.uvarint(uint64(b.Bucket))
		e.shortDigests(b.Remove)
		e.uvarint(uint64(len(b.Add)))
		for _, r := range b.Add {
			e.change(m.Version, Change{Resource: r})
		}
	}
}

func (Referral) encode(e *encoder) { e.byte(kindReferral) }
