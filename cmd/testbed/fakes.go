package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/fake/broker"
	"thymechute/internal/fake/runtime"
	"thymechute/internal/lab/rig"
)

const (
	readingsQueue      = "readings"
	deadLetterExchange = "readings.given-up"
)

// brokerFlags are the flags of fakeBrokerCommand.
type brokerFlags struct {
	listen   string
	faults   []string
	messages int
}

// fakeBrokerCommand returns the command that runs the fake message broker until a signal.
func fakeBrokerCommand() *cobra.Command {
	var flags brokerFlags
	c := &cobra.Command{Use: "broker", Short: "Run a message broker with a queue for dead letters until SIGINT or SIGTERM",
		Args: cobra.NoArgs,
		Long: "A fake message broker that speaks AMQP 0-9-1, with the queue readings and the fanout exchange readings.given-up,\n" +
			"bound to the queue dead. --fault EVENT:NTH[+EVERY]:FAULT injects a fault at a counted event.",
		RunE: func(c *cobra.Command, _ []string) error { return runFakeBroker(c.OutOrStdout(), flags) }}
	c.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:5672", "a loopback address")
	c.Flags().StringArrayVar(&flags.faults, "fault", nil, "a fault to inject; repeatable")
	c.Flags().IntVar(&flags.messages, "messages", 0, "messages of the class trace in the queue readings at the start")
	return c
}

func runFakeBroker(out io.Writer, flags brokerFlags) error {
	b, err := newFaultyBroker(flags.faults)
	if err != nil {
		return usageError{err}
	}
	if err := b.DeclareReadings(deadLetterExchange, nil); err != nil {
		return err
	}
	b.Watch(func(e broker.Event) {
		fmt.Fprintf(out, "%s conn=%d peer=%q queue=%s id=%q type=%s redelivered=%v\n", e.Kind, e.Conn, e.Peer, e.Queue, e.ID, e.Type, e.Redelivered)
	})
	address, err := b.Start(flags.listen)
	if err != nil {
		return err
	}
	defer b.Close()
	for n := range flags.messages {
		b.Publish("", readingsQueue, broker.Props{broker.Type: rig.SafeClass, broker.MessageID: fmt.Sprintf("m%d", n+1)}, []byte("reading"))
	}
	fmt.Fprintln(out, "listening on", address)
	waitForSignal()
	return nil
}

// newFaultyBroker returns a broker with the faults given on the command line.
func newFaultyBroker(texts []string) (*broker.Broker, error) {
	var faults []broker.Fault
	for _, text := range texts {
		fault, err := broker.ParseFault(text)
		if err != nil {
			return nil, err
		}
		faults = append(faults, fault)
	}
	return broker.New(faults...)
}

// fakeRuntimeCommand returns the command that runs the fake runtime until a signal.
func fakeRuntimeCommand() *cobra.Command {
	var listen string
	var runTime time.Duration
	c := &cobra.Command{Use: "runtime", Short: "Run a runtime that accepts every task, until SIGINT or SIGTERM", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runFakeRuntime(c.OutOrStdout(), listen, runTime) }}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "a loopback address")
	c.Flags().DurationVar(&runTime, "work", 5*time.Millisecond, "how long each task runs")
	return c
}

func runFakeRuntime(out io.Writer, listen string, runTime time.Duration) error {
	work := func(string, []byte) (time.Duration, []byte) { return runTime, []byte("done") }
	started := func(class string, body []byte) { fmt.Fprintf(out, "run class=%s body=%.64q\n", class, body) }
	rt, address, err := runtime.Start(listen, work, started)
	if err != nil {
		return err
	}
	defer rt.Close()
	fmt.Fprintln(out, "listening on", address)
	waitForSignal()
	return nil
}

// waitForSignal blocks until SIGINT or SIGTERM.
func waitForSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
}
