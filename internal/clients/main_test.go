// Package clients contains tests of what clients may do to the program and to each other: floods, slow writers, clients that leave, and
// reloads under load. Each test runs the program as a process. They are apart from those of cmd/thymechute because they take long.
package clients

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Body of the requests, and result of their runs.
const (
	body   = "the body\x00"
	result = "the result\x01"
)

// Environment variables of a flooding client, which is a process of the test's own binary.
const (
	floodKindVariable    = "FLOOD_KIND" // a kind of floodKinds; set only in the processes of flooding clients
	floodAddressVariable = "FLOOD_ADDRESS"
	floodTimeVariable    = "FLOOD_TIME" // how long it floods, as a duration
)

// TestMain lets the test binary act as a flooding client.
func TestMain(m *testing.M) {
	kind := os.Getenv(floodKindVariable)
	if kind == "" {
		os.Exit(m.Run())
	}
	limit, err := time.ParseDuration(os.Getenv(floodTimeVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(flood(os.Getenv(floodAddressVariable), floodKinds[kind], limit))
}
