package main

import (
	"fmt"
	"os"
	"testing"
	"time"
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
