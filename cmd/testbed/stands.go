// This file owns the stand-ins that are started by hand. Each must end at SIGINT or SIGTERM.

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/fake/broker"
	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

// standBroker is the stand-in message broker.
func standBroker() *cobra.Command {
	var listen string
	var faults []string
	var messages int
	c := &cobra.Command{Use: "broker", Short: "A message broker: queue readings, dead letters in dead, until SIGINT or SIGTERM", Args: cobra.NoArgs,
		Long: "A stand-in message broker that speaks AMQP 0-9-1, with the queue readings and the fanout exchange readings.given-up,\n" +
			"bound to the queue dead. --fault EVENT:NTH[+EVERY]:FAULT commits a fault at a counted event.",
		RunE: func(c *cobra.Command, _ []string) error {
			var script []broker.Fault
			for _, text := range faults {
				f, err := broker.ParseFault(text)
				if err != nil {
					return usageError{err}
				}
				script = append(script, f)
			}
			b, err := broker.New(script...)
			if err != nil {
				return usageError{err}
			}
			if err := b.Depot("readings.given-up", nil); err != nil {
				return err
			}
			b.Watch(func(e broker.Event) {
				fmt.Fprintf(c.OutOrStdout(), "%s conn=%d peer=%q queue=%s id=%q type=%s redelivered=%v\n", e.What, e.Conn, e.Peer, e.Queue, e.ID, e.Type, e.Redelivered)
			})
			address, err := b.Start(listen)
			if err != nil {
				return err
			}
			defer b.Close()
			for n := range messages {
				b.Publish("", "readings", broker.Props{broker.Type: rig.ClassTrace, broker.MessageID: fmt.Sprintf("m%d", n+1)}, []byte("reading"))
			}
			fmt.Fprintln(c.OutOrStdout(), "listening on", address)
			untilStopped()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:5672", "a loopback address")
	c.Flags().StringArrayVar(&faults, "fault", nil, "a fault, as often as wanted")
	c.Flags().IntVar(&messages, "messages", 0, "messages of the class trace that wait in readings from the start")
	return c
}

// standRuntime is the stand-in runtime.
func standRuntime() *cobra.Command {
	var listen string
	var span time.Duration
	c := &cobra.Command{Use: "runtime", Short: "A runtime that runs what it is asked to, until SIGINT or SIGTERM", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rt, address, err := runtime.Start(listen, func(string, []byte) (time.Duration, []byte) { return span, []byte("done") },
				func(class string, body []byte) {
					fmt.Fprintf(c.OutOrStdout(), "run class=%s body=%.64q\n", class, body)
				})
			if err != nil {
				return err
			}
			defer rt.Close()
			fmt.Fprintln(c.OutOrStdout(), "listening on", address)
			untilStopped()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "a loopback address")
	c.Flags().DurationVar(&span, "work", 5*time.Millisecond, "how long a run takes")
	return c
}

// untilStopped waits for SIGINT or SIGTERM.
func untilStopped() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
}
