package configuration_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"thymechute/internal/decide/configuration"
)

// fixturePath is a file with one line for each encoding: its name, a space, and its bytes in hexadecimal. The bytes were written
// by the program at commit d489d24; messages and log entries of that version must stay readable.
const fixturePath = "testdata/encoded-d489d24.txt"

// fixtureResources returns one resource of each type, each at a different version.
func fixtureResources(t testing.TB) []*configuration.Resource {
	t.Helper()
	var resources []*configuration.Resource
	for n, kind := range []configuration.ResourceType{configuration.Tenant, configuration.Route, configuration.Class} {
		r, err := configuration.NewResource(kind, fmt.Sprintf("name-%d", n), strings.Repeat("body", n), version(uint64(n+1), 300))
		if err != nil {
			t.Fatal(err)
		}
		resources = append(resources, r)
	}
	return resources
}

func fixtureChanges(t testing.TB) []configuration.Change {
	t.Helper()
	resources := fixtureResources(t)
	removed, err := configuration.NewResource(configuration.Tenant, "removed", "", version(3, 300))
	if err != nil {
		t.Fatal(err)
	}
	return []configuration.Change{
		{Resource: resources[0]}, {Resource: resources[1]}, {Resource: resources[2]}, {Resource: removed, Removed: true},
	}
}

// fixtureMessages returns a message of each kind, by its name in the fixture file. The file uses the names of the program version
// that wrote it.
func fixtureMessages(t testing.TB) map[string]configuration.Message {
	t.Helper()
	position := configuration.Position{Version: version(3, 300), Root: 0x0123456789abcdef, Age: 1500 * time.Millisecond}
	request := configuration.DigestRequest{}
	group := configuration.GroupDigests{Group: 63}
	for n := range request.Groups {
		request.Groups[n] = uint32(n * 0x01010101)
		group.Buckets[n] = uint32(n * 0x10101)
	}
	r := fixtureResources(t)[1]
	return map[string]configuration.Message{
		"hello":   configuration.Poll{Version: version(1<<40, 128), Root: 0xfedcba9876543210},
		"head":    configuration.PollReply{Position: position, NeedsRepair: true},
		"delta":   configuration.Delta{Position: position, From: version(2, 299), Changes: fixtureChanges(t)},
		"sums":    request,
		"groups":  configuration.DigestReply{Position: position, Groups: []configuration.GroupDigests{{Group: 2}, group}},
		"buckets": configuration.RepairRequest{Buckets: []configuration.BucketDigests{{Bucket: 0, Digests: []uint32{}}, {Bucket: 4095, Digests: []uint32{7, 1 << 31}}}},
		"fill": configuration.RepairReply{Position: position, Buckets: []configuration.BucketRepair{
			{Bucket: configuration.BucketIndex(r), Remove: []uint32{9}, Add: []*configuration.Resource{r}}}},
		"refer": configuration.Referral{},
	}
}

func fixtureCommand(t testing.TB) configuration.Command {
	t.Helper()
	return configuration.Command{Base: version(2, 299), Version: version(3, 300), Changes: fixtureChanges(t)}
}

// fixtureState returns a state of 500 tenants, and one more resource of each type.
func fixtureState(t testing.TB) *configuration.State {
	t.Helper()
	s, err := tenantState(t, 500).With(version(3, 300), fixtureChanges(t))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func readFixture(t testing.TB) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(fixturePath)
	if err != nil {
		t.Fatal(err)
	}
	encoded := map[string][]byte{}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		if encoded[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	return encoded
}

func TestMessagesKeepTheirEncoding(t *testing.T) {
	encoded := readFixture(t)
	for name, m := range fixtureMessages(t) {
		if b := configuration.AppendMessage(nil, m); !bytes.Equal(b, encoded[name]) {
			t.Errorf("%s: encoded as %x, expected %x", name, b, encoded[name])
		}
		if decoded, err := configuration.DecodeMessage(encoded[name]); err != nil || !reflect.DeepEqual(decoded, m) {
			t.Errorf("%s: decoded as %#v with error %v, expected %#v", name, decoded, err, m)
		}
	}
}

func TestCommandsKeepTheirEncoding(t *testing.T) {
	encoded, c := readFixture(t)["command"], fixtureCommand(t)
	if b := c.Encode(); !bytes.Equal(b, encoded) {
		t.Errorf("encoded as %x, expected %x", b, encoded)
	}
	if decoded, err := configuration.DecodeCommand(encoded); err != nil || !reflect.DeepEqual(decoded, c) {
		t.Errorf("decoded as %#v with error %v, expected %#v", decoded, err, c)
	}
}

// Digests must not change between program versions, as members of different versions compare them with each other.
func TestStatesKeepTheirDigests(t *testing.T) {
	encoded := readFixture(t)
	for name, s := range map[string]*configuration.State{"root": fixtureState(t), "root-of-empty": configuration.Empty()} {
		if root := binary.BigEndian.AppendUint64(nil, s.Root()); !bytes.Equal(root, encoded[name]) {
			t.Errorf("%s: root digest %x, expected %x", name, root, encoded[name])
		}
	}
}
