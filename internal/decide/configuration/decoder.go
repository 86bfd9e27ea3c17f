package configuration

import (
	"encoding/binary"
	"math"
	"time"
)

// Minimum encoded sizes in bytes. They bound how many elements the rest of a message can contain.
const (
	minChangeBytes        = 3 // type, length of the name, one byte of name
	minBucketDigestsBytes = 2 // index, count
	minBucketRepairBytes  = 3 // index, two counts
)

// decoder reads fields from the front of rest. After the first error all fields read as zero, and finish returns that error.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.rest = nil
}

// finish returns the first error. Bytes left over after the last field are an error too.
func (d *decoder) finish() error {
	if d.err == nil && len(d.rest) > 0 {
		d.err = reject(ReasonMalformed, "%d bytes left over after the last field, expected none", len(d.rest))
	}
	return d.err
}

func (d *decoder) next(size int) []byte {
	if size > len(d.rest) {
		d.fail(reject(ReasonMalformed, "%d bytes left in the encoding, expected a field of %d", len(d.rest), size))
		return make([]byte, min(size, 8))
	}
	field := d.rest[:size]
	d.rest = d.rest[size:]
	return field
}

func (d *decoder) byte() byte     { return d.next(1)[0] }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.next(8)) }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.next(4)) }

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.fail(reject(ReasonMalformed, "invalid varint at the start of the last %d bytes", len(d.rest)))
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// count reads the number of elements that follow, each of at least minBytes. It rejects a number that cannot fit into the
// remaining bytes, so that the caller may safely allocate that many.
func (d *decoder) count(minBytes int) int {
	n := d.uvarint()
	if n > uint64(len(d.rest)/minBytes) {
		d.fail(reject(ReasonMalformed, "%d elements of at least %d bytes each, expected as many as fit into the %d bytes left",
			n, minBytes, len(d.rest)))
		return 0
	}
	return int(n)
}

func (d *decoder) version() Version { return Version{Token: d.uvarint(), Counter: d.uvarint()} }

func (d *decoder) string(maxBytes int) string {
	size := d.count(1)
	if size > maxBytes {
		d.fail(reject(ReasonLimitExceeded, "resource name or body of %d bytes, expected at most %d", size, maxBytes))
		return ""
	}
	return string(d.next(size))
}

func (d *decoder) position() Position {
	const maxAgeMS = math.MaxInt64 / uint64(time.Millisecond)
	p := Position{Version: d.version(), Root: d.uint64()}
	p.Age = time.Duration(min(d.uvarint(), maxAgeMS)) * time.Millisecond
	return p
}

// change reads a change, which has the message's version unless it carries its own. Its resource is nil after an error.
func (d *decoder) change(messageVersion Version) Change {
	typeAndFlags := d.byte()
	c, v := Change{Removed: typeAndFlags&flagRemoved != 0}, messageVersion
	if typeAndFlags&flagOwnVersion != 0 {
		v = d.version()
	}
	name, body := d.string(MaxNameBytes), ""
	if !c.Removed {
		body = d.string(MaxBodyBytes)
	}
	if d.err != nil {
		return Change{}
	}
	var err error
	if c.Resource, err = NewResource(ResourceType(typeAndFlags&^(flagRemoved|flagOwnVersion)), name, body, v); err != nil {
		d.fail(err)
	}
	return c
}

func (d *decoder) changes(messageVersion Version) []Change {
	changes := make([]Change, 0, d.count(minChangeBytes))
	for range cap(changes) {
		c := d.change(messageVersion)
		if d.err != nil {
			return nil
		}
		changes = append(changes, c)
	}
	return changes
}

// bucketIndex reads the index of a bucket, which must be greater than the previous one.
func (d *decoder) bucketIndex(previous int) uint16 {
	n := d.uvarint()
	if n >= bucketCount || int(n) <= previous {
		d.fail(reject(ReasonMalformed, "bucket index %d after %d, expected a greater one below %d", n, previous, bucketCount))
		return 0
	}
	return uint16(n)
}

func (d *decoder) shortDigests() []uint32 {
	digests := make([]uint32, d.count(4))
	for n := range digests {
		digests[n] = d.uint32()
	}
	return digests
}
