// This file owns reading the messages' bytes. It must never give a message that breaks a bound, nor make anything larger
// than the bytes that it was handed.

package configuration

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decode is the message of bytes from a peer. Errors: a *Refusal; the message is refused whole.
func Decode(b []byte) (Message, error) {
	r, kind, err := open(b)
	if err != nil {
		return nil, err
	}
	var m Message
	switch kind {
	case kindHello:
		m = Hello{Version: r.version(), Root: r.digest()}
	case kindHead:
		m = Head{At: r.at(), Repair: r.byte() != 0}
	case kindDelta:
		d := Delta{At: r.at(), From: r.version()}
		d.Changes = r.changes(d.Version)
		m = d
	case kindSums:
		s := Sums{}
		for n := range s.Groups {
			s.Groups[n] = r.short()
		}
		m = s
	case kindGroups:
		m = r.groups()
	case kindBuckets:
		m = r.buckets()
	case kindFill:
		m = r.fill()
	case kindRefer:
		m = Refer{}
	default:
		return nil, refuse(UnknownType, "message of kind %d", kind)
	}
	return m, r.end()
}

// DecodeCommand is the command of a log's entry. Errors: a *Refusal.
func DecodeCommand(b []byte) (Command, error) {
	r, kind, err := open(b)
	if err != nil {
		return Command{}, err
	}
	if kind != kindCommand {
		return Command{}, refuse(UnknownType, "entry of kind %d", kind)
	}
	c := Command{Base: r.version(), Version: r.version()}
	c.Changes = r.changes(c.Version)
	return c, r.end()
}

// open checks the whole and takes off its kind and checksum.
func open(b []byte) (*reader, byte, error) {
	if len(b) < 1+checksumSize || len(b) > MostMessage {
		return nil, 0, refuse(OverBound, "message of %d bytes", len(b))
	}
	body := b[:len(b)-checksumSize]
	if binary.LittleEndian.Uint32(b[len(body):]) != uint32(xxhash.Sum64(body)) {
		return nil, 0, refuse(WrongDigest, "checksum of a message of %d bytes", len(b))
	}
	return &reader{b: body[1:]}, body[0], nil
}

// reader takes fields off; after the first fault it gives zeros, and end the fault.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.b = nil
}

func (r *reader) end() error {
	if r.err == nil && len(r.b) > 0 {
		r.err = refuse(Malformed, "%d bytes too many", len(r.b))
	}
	return r.err
}

func (r *reader) take(n int) []byte {
	if n > len(r.b) {
		r.fail(refuse(Malformed, "%d bytes left, %d expected", len(r.b), n))
		return make([]byte, min(n, 8))
	}
	taken := r.b[:n]
	r.b = r.b[n:]
	return taken
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) digest() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) short() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.fail(refuse(Malformed, "no number"))
		return 0
	}
	r.b = r.b[size:]
	return n
}

// count is a number of things of which each takes at least so many bytes: never more than there is room for.
func (r *reader) count(least int) int {
	n := r.number()
	if n > uint64(len(r.b)/least) {
		r.fail(refuse(Malformed, "%d things in %d bytes", n, len(r.b)))
		return 0
	}
	return int(n)
}

func (r *reader) version() Version { return Version{Token: r.number(), Counter: r.number()} }

func (r *reader) text(most int) string {
	n := r.count(1)
	if n > most {
		r.fail(refuse(OverBound, "text of %d bytes", n))
		return ""
	}
	return string(r.take(n))
}

func (r *reader) at() At {
	a := At{Version: r.version(), Root: r.digest()}
	const mostAge = math.MaxInt64 / uint64(time.Millisecond)
	a.Age = time.Duration(min(r.number(), mostAge)) * time.Millisecond
	return a
}

func (r *reader) resource(at Version) (*Resource, bool) {
	first := r.byte()
	removed, v := first&bitRemoved != 0, at
	if first&bitVersion != 0 {
		v = r.version()
	}
	name, body := r.text(MostName), ""
	if !removed {
		body = r.text(MostBody)
	}
	if r.err != nil {
		return nil, false
	}
	resource, err := NewResource(Type(first&^(bitRemoved|bitVersion)), name, body, v)
	if err != nil {
		r.fail(err)
	}
	return resource, removed
}

const leastResource = 3 // bytes: type, length of the name, one byte of name

func (r *reader) changes(at Version) []Change {
	changes := make([]Change, 0, r.count(leastResource))
	for range cap(changes) {
		resource, removed := r.resource(at)
		if r.err != nil {
			return nil
		}
		changes = append(changes, Change{resource, removed})
	}
	return changes
}

func (r *reader) groups() Groups {
	m := Groups{At: r.at()}
	m.Groups = make([]GroupSums, r.count(1+4*fan))
	for n := range m.Groups {
		g := &m.Groups[n]
		if g.Group = r.byte(); g.Group >= fan || n > 0 && g.Group <= m.Groups[n-1].Group {
			r.fail(refuse(Malformed, "group %d out of order", g.Group))
			return m
		}
		for k := range g.Buckets {
			g.Buckets[k] = r.short()
		}
	}
	return m
}

// place is a bucket's number, each over the last.
func (r *reader) place(last int) uint16 {
	n := r.number()
	if n >= buckets || int(n) <= last {
		r.fail(refuse(Malformed, "bucket %d after %d", n, last))
		return 0
	}
	return uint16(n)
}

func (r *reader) shorts() []uint32 {
	digests := make([]uint32, r.count(4))
	for n := range digests {
		digests[n] = r.short()
	}
	return digests
}

func (r *reader) buckets() Buckets {
	m, last := Buckets{Buckets: make([]BucketSums, min(r.count(2), buckets))}, -1
	for n := range m.Buckets {
		m.Buckets[n] = BucketSums{Bucket: r.place(last), Digests: r.shorts()}
		last = int(m.Buckets[n].Bucket)
		if r.err != nil {
			break
		}
	}
	return m
}

func (r *reader) fill() Fill {
	m, last := Fill{At: r.at()}, -1
	m.Buckets = make([]BucketFill, min(r.count(3), buckets))
	for n := range m.Buckets {
		f := BucketFill{Bucket: r.place(last), Drop: r.shorts()}
		last = int(f.Bucket)
		f.Add = make([]*Resource, 0, r.count(leastResource))
		for range cap(f.Add) {
			resource, removed := r.resource(m.Version)
			if removed || r.err == nil && bucketOf(resource) != last {
				r.fail(refuse(Malformed, "a resource of another bucket than %d", last))
			}
			if r.err != nil {
				return m
			}
			f.Add = append(f.Add, resource)
		}
		m.Buckets[n] = f
	}
	return m
}
