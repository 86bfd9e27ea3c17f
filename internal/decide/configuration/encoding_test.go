package configuration_test

import (
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/decide/configuration"
)

func drawVersion(t *rapid.T) configuration.Version {
	return configuration.Version{Token: rapid.Uint64().Draw(t, "token"), Counter: rapid.Uint64().Draw(t, "counter")}
}

func drawResource(t *rapid.T) *configuration.Resource {
	r, err := configuration.NewResource(configuration.ResourceType(rapid.IntRange(1, 3).Draw(t, "type")),
		rapid.StringN(1, 20, 80).Draw(t, "name"), rapid.StringN(0, 50, 200).Draw(t, "body"), drawVersion(t))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func drawPosition(t *rapid.T) configuration.Position {
	return configuration.Position{Version: drawVersion(t), Root: rapid.Uint64().Draw(t, "root"),
		Age: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "ms")) * time.Millisecond}
}

func drawMessage(t *rapid.T) configuration.Message {
	digests := func() []uint32 { return rapid.SliceOfN(rapid.Uint32(), 0, 9).Draw(t, "digests") }
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return configuration.Poll{Version: drawVersion(t), Root: rapid.Uint64().Draw(t, "root")}
	case 1:
		return configuration.PollReply{Position: drawPosition(t), NeedsRepair: rapid.Bool().Draw(t, "repair")}
	case 2:
		d := configuration.Delta{Position: drawPosition(t), From: drawVersion(t), Changes: []configuration.Change{}}
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			d.Changes = append(d.Changes, configuration.Change{Resource: drawResource(t)})
		}
		return d
	case 3:
		m := configuration.DigestRequest{}
		for n := range m.Groups {
			m.Groups[n] = rapid.Uint32().Draw(t, "group digest")
		}
		return m
	case 4:
		m := configuration.DigestReply{Position: drawPosition(t), Groups: []configuration.GroupDigests{}}
		for n := range rapid.IntRange(0, 3).Draw(t, "groups") {
			m.Groups = append(m.Groups, configuration.GroupDigests{Group: uint8(n * 9)})
		}
		return m
	case 5:
		m := configuration.RepairRequest{Buckets: []configuration.BucketDigests{}}
		for n := range rapid.IntRange(0, 4).Draw(t, "buckets") {
			m.Buckets = append(m.Buckets, configuration.BucketDigests{Bucket: uint16(n * 777), Digests: digests()})
		}
		return m
	case 6:
		m := configuration.RepairReply{Position: drawPosition(t), Buckets: []configuration.BucketRepair{}}
		if rapid.Bool().Draw(t, "one") {
			r := drawResource(t)
			m.Buckets = append(m.Buckets, configuration.BucketRepair{Bucket: configuration.BucketIndex(r), Remove: digests(),
				Add: []*configuration.Resource{r}})
		}
		return m
	}
	return configuration.Referral{}
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := configuration.AppendMessage(nil, m)
		found, err := configuration.DecodeMessage(b)
		if err != nil || !reflect.DeepEqual(found, m) {
			t.Fatalf("%#v\ndecoded as %#v with error %v", m, found, err)
		}
	})
}

func TestDamagedMessagesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := configuration.AppendMessage(nil, drawMessage(t))
		switch rapid.IntRange(0, 1).Draw(t, "damage") {
		case 0:
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		default:
			b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "length")]
		}
		if m, err := configuration.DecodeMessage(b); err == nil {
			t.Fatalf("the damaged message was decoded as %#v, expected an error", m)
		}
	})
}

// DecodeMessage must either reject or decode any bytes with a valid checksum; it must not panic.
func TestArbitraryBytesAreRejectedOrDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "body")
		body[0] %= 11
		m, err := configuration.DecodeMessage(configuration.AppendChecksum(body))
		if err == nil && m == nil {
			t.Fatal("DecodeMessage returned neither a message nor an error")
		}
	})
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	for name, c := range map[string]struct {
		body []byte
		want configuration.Reason
	}{
		"unknown kind":                   {[]byte{99}, configuration.ReasonUnknownType},
		"unknown type of resource":       {[]byte{3, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1, 9, 1, 'a', 0}, configuration.ReasonUnknownType},
		"more elements than bytes":       {[]byte{3, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 200, 1, 1, 'a', 0}, configuration.ReasonMalformed},
		"bytes after the end":            {[]byte{8, 0}, configuration.ReasonMalformed},
		"buckets out of order":           {[]byte{6, 2, 5, 0, 5, 0}, configuration.ReasonMalformed},
		"bucket past the last":           {[]byte{6, 1, 0x80, 0x20, 0}, configuration.ReasonMalformed},
		"an empty name":                  {[]byte{3, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1, 1, 0, 0}, configuration.ReasonLimitExceeded},
		"a resource in the wrong bucket": {[]byte{7, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 1, 1, 1, 'a', 0}, configuration.ReasonMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := configuration.DecodeMessage(configuration.AppendChecksum(c.body))
			wantRejection(t, err, c.want)
		})
	}
	_, err := configuration.DecodeMessage(make([]byte, configuration.MaxMessageBytes+1))
	wantRejection(t, err, configuration.ReasonLimitExceeded)
}

// A message whose count exceeds what its bytes can contain must not cause an allocation of that size.
func TestDecodeAllocationsAreBoundedByTheInput(t *testing.T) {
	position := []byte{1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0}
	count := []byte{0xff, 0xff, 0x3f} // 2^20 - 1
	for name, body := range map[string][]byte{
		"changes": slices.Concat([]byte{3}, position, []byte{1, 0}, count),
		"groups":  slices.Concat([]byte{5}, position, count),
		"digests": slices.Concat([]byte{6, 1, 0}, count),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := configuration.DecodeMessage(configuration.AppendChecksum(body))
		runtime.ReadMemStats(&after)
		wantRejection(t, err, configuration.ReasonMalformed)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
			t.Errorf("%s: %d bytes allocated to decode %d, expected at most 1 MB", name, allocated, len(body))
		}
	}
}

func TestCommandsRoundTrip(t *testing.T) {
	v := version(4, 2)
	c := command(t, version(3, 1), v, "a", "1", "b", "2")
	c.Changes = append(c.Changes, configuration.Change{Resource: resource(t, "gone", "", v), Removed: true})
	found, err := configuration.DecodeCommand(c.Encode())
	if err != nil || !reflect.DeepEqual(found, c) {
		t.Errorf("%#v decoded as %#v with error %v", c, found, err)
	}
	b := c.Encode()
	b[5] ^= 1
	_, err = configuration.DecodeCommand(b)
	wantRejection(t, err, configuration.ReasonDigestMismatch)
}
