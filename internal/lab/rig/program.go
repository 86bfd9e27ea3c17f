package rig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// programName is the file name of the program that the experiments start.
const programName = "thymechute"

// MissingProgramError reports that the program to start was not found or is not executable.
type MissingProgramError struct {
	Path  string // where it was expected
	Found string // what was found there
}

// Error implements error.
func (e *MissingProgramError) Error() string {
	return fmt.Sprintf("program to run: %s: found %s, expected the executable %s (build all commands into one folder: go build -o bin/ ./cmd/...)",
		e.Path, e.Found, programName)
}

// ProgramBeside returns the path of the program, which is in the same folder as executable. Its errors are *MissingProgramError.
func ProgramBeside(executable string) (string, error) {
	path := filepath.Join(filepath.Dir(executable), programName)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "", &MissingProgramError{Path: path, Found: "nothing"}
	case err != nil:
		return "", &MissingProgramError{Path: path, Found: err.Error()}
	case !info.Mode().IsRegular():
		return "", &MissingProgramError{Path: path, Found: "no regular file"}
	case info.Mode().Perm()&0o111 == 0:
		return "", &MissingProgramError{Path: path, Found: "a file that may not be executed"}
	}
	return path, nil
}
