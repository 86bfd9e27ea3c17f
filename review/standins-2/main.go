//go:build review

// Command standins-2 plays the cases 6 and 7 of the review: it starts the program by the command of the deploy file, is its
// runtimes, client stubs, broker and platform, and checks one rule from what those see.
//
//	review-2 CASE FOLDER
//
// It writes record.txt to the folder. Exit code 0: the rule held; 1: it was broken; 2: the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const watchdog = 115 * time.Second

// cases are the cases by name.
var cases = map[string]func(*world) error{
	"halves": playHalves,
	"ends":   playEnds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.killAll()
		os.Exit(2)
	}()
	time.AfterFunc(watchdog, func() {
		w.record("the case took too long")
		w.killAll()
		os.Exit(2)
	})
	err = cases[os.Args[1]](w)
	w.killAll()
	os.RemoveAll(w.temp)
	os.Exit(w.finish(err))
}
