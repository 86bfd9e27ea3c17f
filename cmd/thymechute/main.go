// Command thymechute is the server program. The sub-command serve, which is the default, runs one service instance; check
// validates the configuration files; version prints what the program was built from.
//
// The exit code is 0 after a graceful shutdown or a successful check, 2 for an invalid configuration or command line, and 1
// for any other error.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"thymechute/internal/config"
	"thymechute/internal/operator"
)

const (
	exitFailure       = 1
	exitConfiguration = 2

	maxQueuedSignals = 8 // signals that arrive while this many are pending are dropped
)

// configurationError marks an error in a configuration file, the environment or the command line.
type configurationError struct{ err error }

func (e *configurationError) Error() string { return e.err.Error() }

func (e *configurationError) Unwrap() error { return e.err }

func main() {
	signals := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // before anything else, as by default they end the process
	if err := run(signals); err != nil {
		fmt.Fprintln(os.Stderr, "thymechute:", err)
		os.Exit(exitCode(err))
	}
}

func run(signals <-chan os.Signal) error {
	if len(os.Args) == 1 { // as the platform starts it; this saves the memory of the command-line parser
		return loadAndServe("", signals)
	}
	return newCommand(signals).Execute()
}

func exitCode(err error) int {
	var configurationErr *configurationError
	if errors.As(err, &configurationErr) {
		return exitConfiguration
	}
	return exitFailure
}

// loadAndServe loads the configuration and the operator's settings file, and serves until a signal ends the program.
func loadAndServe(operatorFile string, signals <-chan os.Signal) error {
	loaded, err := config.Load(os.Getenv)
	if err != nil {
		return &configurationError{err}
	}
	operatorSettings, err := loadOperatorFile(operatorFile)
	if err != nil {
		return &configurationError{err}
	}
	return serve(loaded, operatorSettings, signals)
}

// loadOperatorFile loads the operator's settings file. With an empty path all its features are disabled.
func loadOperatorFile(path string) (*operator.Settings, error) {
	if path == "" {
		return &operator.Settings{}, nil
	}
	return operator.Load(path)
}
