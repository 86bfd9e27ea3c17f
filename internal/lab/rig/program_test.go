package rig

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// The program is expected in the folder of the given executable; the error states what was found in its place.
func TestProgramBeside(t *testing.T) {
	folder := t.TempDir()
	beside, wanted := filepath.Join(folder, "testbed"), filepath.Join(folder, "thymechute")
	missing := func(found string) {
		t.Helper()
		_, err := ProgramBeside(beside)
		var e *MissingProgramError
		if !errors.As(err, &e) || e.Path != wanted || e.Found != found {
			t.Errorf("found error %v, expected %s at %s", err, found, wanted)
		}
	}
	missing("nothing")
	if err := os.WriteFile(wanted, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	missing("a file that may not be executed")
	if err := os.Chmod(wanted, 0o700); err != nil {
		t.Fatal(err)
	}
	if path, err := ProgramBeside(beside); path != wanted || err != nil {
		t.Errorf("found %q, %v, expected %s", path, err, wanted)
	}
	if err := os.Remove(wanted); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(wanted, 0o700); err != nil {
		t.Fatal(err)
	}
	missing("no regular file")
}
