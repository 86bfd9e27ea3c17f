// This file owns where the program of an experiment stands.

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

// MissingProgramError says that an experiment has no program to start.
type MissingProgramError struct {
	Path  string // where it was looked for
	Found string // what stands there instead
}

func (e *MissingProgramError) Error() string {
	return fmt.Sprintf("program of the experiment: %s: found %s, expected the executable %s (build both into one folder: go build -o bin/ ./cmd/...)",
		e.Path, e.Found, programName)
}

// ProgramBeside is the path of the program in the folder of another executable, or a *MissingProgramError.
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
