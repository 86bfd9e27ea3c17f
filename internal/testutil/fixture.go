package testutil

import (
	"os"
	"path/filepath"
	"testing"
)

// ReadFixture returns the content of a file in the tested package's testdata directory. The test fails if it can't be read.
func ReadFixture(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
