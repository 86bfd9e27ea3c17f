package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ResourceType distinguishes the kinds of resources. Its values are part of the encoding.
type ResourceType uint8

// The known resource types. Any other is rejected.
const (
	Tenant ResourceType = 1 + iota
	Route
	Class
	resourceTypeEnd // one past the last
)

// Resource is one configured object, identified by type and name. It is immutable and shared by the states that contain it.
type Resource struct {
	Type    ResourceType
	Name    string
	Body    string // opaque to this package; its encoding depends on the type
	Version Version
	digest  uint64 // hash of all fields above
	keyHash uint64 // hash of type and name; it selects the bucket
}

// NewResource returns a resource. It returns a *RejectionError for an unknown type, an empty name, or a name or body that
// exceeds its limit.
func NewResource(t ResourceType, name, body string, v Version) (*Resource, error) {
	if t == 0 || t >= resourceTypeEnd {
		return nil, reject(ReasonUnknownType, "resource type %d, expected 1 to %d", t, resourceTypeEnd-1)
	}
	if name == "" || len(name) > MaxNameBytes || len(body) > MaxBodyBytes {
		return nil, reject(ReasonLimitExceeded,
			"resource name of %d bytes and body of %d bytes, expected a name of 1 to %d and a body of at most %d",
			len(name), len(body), MaxNameBytes, MaxBodyBytes)
	}
	r := &Resource{Type: t, Name: name, Body: body, Version: v, keyHash: hashKey(t, name)}
	r.digest = r.computeDigest()
	return r, nil
}

func hashKey(t ResourceType, name string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.Write([]byte{byte(t)})
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

func (r *Resource) computeDigest() uint64 {
	var header [24]byte
	binary.LittleEndian.PutUint64(header[:], r.keyHash)
	binary.LittleEndian.PutUint64(header[8:], r.Version.Token)
	binary.LittleEndian.PutUint64(header[16:], r.Version.Counter)
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.Write(header[:])
	_, _ = hash.WriteString(r.Body)
	return hash.Sum64()
}

func (r *Resource) sizeBytes() int { return len(r.Name) + len(r.Body) }

// Change adds or replaces a resource, or removes the one with the same type and name.
type Change struct {
	Resource *Resource
	Removed  bool
}

// changeOverheadBytes is the approximate size of an encoded change without the name and body.
const changeOverheadBytes = 8

// encodedSize returns the approximate encoded size of changes in bytes.
func encodedSize(changes []Change) (size int) {
	for _, c := range changes {
		size += c.Resource.sizeBytes() + changeOverheadBytes
	}
	return size
}
