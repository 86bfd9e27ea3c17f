package rig

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The configuration file has the keys and values of revision af0cb43, which encoded it from maps; addresses and seed vary.
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
