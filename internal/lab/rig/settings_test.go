package rig

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The encoded configuration has the keys and values that revision af0cb43 encoded from maps. The test sets the addresses, which are
// random otherwise, and the seed.
func TestConfigurationMatchesRecording(t *testing.T) {
	recorded, err := os.ReadFile("testdata/configuration-af0cb43.json")
	if err != nil {
		t.Fatal(err)
	}
	configuration, err := newConfiguration(LaunchOptions{Name: "m0", RuntimeAddress: "127.0.0.1:2", Seed: 0x2a})
	if err != nil {
		t.Fatal(err)
	}
	configuration.Listen, configuration.Index, configuration.Directory = "127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:3"
	encoded, err := json.Marshal(configuration)
	if err != nil {
		t.Fatal(err)
	}
	var found, expected any
	if err := json.Unmarshal(encoded, &found); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(recorded, &expected); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(found, expected) {
		t.Errorf("found %s, expected %s", encoded, recorded)
	}
}
