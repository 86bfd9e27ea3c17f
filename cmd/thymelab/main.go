// Command thymelab is for who builds and tries thymechute: stand-ins of outside parties and experiments with the real
// program, on loopback only, each bounded in count and time. This file owns its command line. Exit codes: 0 the claim
// holds, 1 it does not or could not be tried, 2 told something faulty.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab"
	"thymechute/internal/lab/emu"
	"thymechute/internal/stand/broker"
	"thymechute/internal/stand/runtime"
)

type faulty struct{ error }

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "thymelab:", err)
	if told := (faulty{}); errors.As(err, &told) {
		os.Exit(2)
	}
	os.Exit(1)
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "thymelab", Short: "Stand-ins and experiments around thymechute, on loopback",
		SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true}}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return faulty{err} })
	stand := &cobra.Command{Use: "stand", Short: "Start a stand-in of an outside party"}
	stand.AddCommand(standBroker(), standRuntime())
	run := &cobra.Command{Use: "run", Short: "Run an experiment: the real program and stand-ins"}
	run.AddCommand(runAMQP(), runStorm(), runSubsets(), runOwner(), runRing(), runRoll(), runConfiguration(), runFleet())
	root.AddCommand(stand, run)
	return root
}

// experiment is the frame of all of them: flags, a folder of its own, the report.
func experiment(name, short string, size, least, most int, unit string, do func(program, folder string, seed uint64, size int, progress func(string)) (*lab.Report, error)) *cobra.Command {
	var seed uint64
	var asJSON bool
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if size < least || size > most {
			return faulty{fmt.Errorf("--size: found %d, expected %d to %d", size, least, most)}
		}
		folder, err := os.MkdirTemp("", "thymelab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		program, err := lab.Build(folder)
		if err != nil {
			return err
		}
		report, err := do(program, folder, seed, size, func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) })
		if err != nil {
			return err
		}
		if asJSON {
			object := map[string]float64{}
			for _, f := range report.Figures {
				object[f.Name] = f.Value
			}
			_ = json.NewEncoder(c.OutOrStdout()).Encode(object)
		} else {
			for _, f := range report.Figures {
				fmt.Fprintf(c.OutOrStdout(), "%-28s %.6g\n", f.Name, f.Value)
			}
		}
		for _, f := range report.Faults {
			fmt.Fprintln(c.ErrOrStderr(), f)
		}
		if len(report.Faults) > 0 {
			return fmt.Errorf("%s: its claim does not hold", name)
		}
		return nil
	}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of the faults' places and the instances")
	c.Flags().IntVar(&size, "size", size, unit)
	c.Flags().BoolVar(&asJSON, "json", false, "print one object, figures by name")
	return c
}

func runAMQP() *cobra.Command {
	return experiment("amqp", "Two instances at a broker that loses acks, cuts and restarts; then the cost beside JSON-RPC", 100000, 200,
		10_000_000, "messages", lab.AMQP)
}

func runStorm() *cobra.Command {
	return experiment("amqp-storm", "Two instances at a broker that hands every message out six times", 50000, 200, 10_000_000,
		"messages", lab.AMQPStorm)
}

func runFleet() *cobra.Command {
	return experiment("fleet", "Members that grow, are killed, paused, restarted cold and leave; all must agree within 2 s", 24, 4,
		64, "members at the most", lab.Fleet)
}

// runSubsets plays the fleet's script of views in the emulator, every way of subsetting in turn, and holds the chosen
// way (stable ranks) to its claim: spread at most 1.10 at stable points, churn on members at most 1.5 of the least.
func runSubsets() *cobra.Command {
	var seed uint64
	var size, per int
	var asJSON bool
	c := &cobra.Command{Use: "subsets", Short: "Subsets of services below as members join and leave, in the emulator",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if size < 6 || size > 100_000 || per < 1 || per > 64 {
				return faulty{fmt.Errorf("--size %d, --subset %d: expected 6 to 100000 and 1 to 64", size, per)}
			}
			below := max(6, size/4)
			figures, err := emu.Subsets(size, below, per, seed, 20)
			if err != nil {
				return faulty{err}
			}
			object := map[string]float64{"members_most": float64(size), "below": float64(below), "subset_size": float64(per)}
			var fault error
			for _, f := range figures {
				object[string(f.Way)+"_spread_max_over_mean"] = f.SpreadWorst
				object[string(f.Way)+"_churn_members_over_minimum"] = f.ChurnMembers
				object[string(f.Way)+"_churn_below_over_minimum"] = f.ChurnBelow
				if f.Way == subset.WayDeterministic {
					object["subset_max_over_mean"] = f.SpreadWorst
					object["subset_churn_over_minimum"] = f.ChurnMembers
					if f.SpreadWorst > 1.10 || f.ChurnMembers > 1.5 {
						fault = fmt.Errorf("subsets: spread %.3f (at most 1.10), churn %.2f (at most 1.5)", f.SpreadWorst, f.ChurnMembers)
					}
				}
			}
			if asJSON {
				_ = json.NewEncoder(c.OutOrStdout()).Encode(object)
			} else {
				for _, f := range figures {
					fmt.Fprintf(c.OutOrStdout(), "%-14s spread %.3f  churn members %.2f  churn below %.2f\n", f.Way, f.SpreadWorst,
						f.ChurnMembers, f.ChurnBelow)
				}
			}
			return fault
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of which members leave and which service below")
	c.Flags().IntVar(&size, "size", 24, "members at the most; services below are a quarter of it, at least 6")
	c.Flags().IntVar(&per, "subset", 3, "services below a member")
	c.Flags().BoolVar(&asJSON, "json", false, "print one object, figures by name")
	return c
}

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
					return faulty{err}
				}
				script = append(script, f)
			}
			b, err := broker.New(script...)
			if err != nil {
				return faulty{err}
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
				b.Publish("", "readings", broker.Props{broker.Type: lab.Trace, broker.MessageID: fmt.Sprintf("m%d", n+1)}, []byte("reading"))
			}
			fmt.Fprintln(c.OutOrStdout(), "listening on", address)
			untilStopped()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:5672", "a loopback address")
	c.Flags().StringArrayVar(&faults, "fault", nil, "a fault, as often as wanted")
	c.Flags().IntVar(&messages, "messages", 0, "messages of the band trace that wait in readings from the start")
	return c
}

func standRuntime() *cobra.Command {
	var listen string
	var span time.Duration
	c := &cobra.Command{Use: "runtime", Short: "A runtime that runs what it is told, until SIGINT or SIGTERM", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rt, address, err := runtime.Start(listen, func(string, []byte) (time.Duration, []byte) { return span, []byte("done") },
				func(band string, body []byte) { fmt.Fprintf(c.OutOrStdout(), "run band=%s body=%.64q\n", band, body) })
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

func untilStopped() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
}
