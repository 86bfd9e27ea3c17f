// Command thymechute is the operators' program: serve is one service instance, and what it does where it is told
// nothing else; check reads what it would be told; version tells what it is. This file owns the command line and
// the exit codes (0 done, 1 could not, 2 told something faulty). It must never hold what one of the parts could.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"thymechute/internal/config"
	"thymechute/internal/operator"
)

// faulty is an error in what the program was told.
type faulty struct{ error }

func (f faulty) Unwrap() error { return f.error }

func main() {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // none may end the process, however early
	var err error
	if len(os.Args) == 1 { // as the platform starts it: the command line's own memory is spared
		err = start("", signals)
	} else {
		err = command(signals).Execute()
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "thymechute:", err)
	if told := (faulty{}); errors.As(err, &told) {
		os.Exit(2)
	}
	os.Exit(1)
}

func command(signals <-chan os.Signal) *cobra.Command {
	var settings string
	started := func(*cobra.Command, []string) error { return start(settings, signals) }
	nothing := func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return faulty{fmt.Errorf("found %q, expected a sub-command or none: %s --help lists them", args[0], c.CommandPath())}
		}
		return nil
	}
	root := &cobra.Command{
		Use:   "thymechute",
		Short: "One service instance with its overload controller",
		Long: "thymechute is one service instance: it takes work items, and refuses them at entry while its lag is over\n" +
			"a threshold. Without a sub-command it serves. What the platform tells it comes by the variables GW_CONFIG,\n" +
			"GW_NAME and GW_LISTEN; what an operator of another installation sets comes by --settings.",
		Args: nothing, RunE: started, SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
	}
	root.PersistentFlags().StringVar(&settings, "settings", "", "the operator's file, XML by deploy/thymechute.xsd; without it all in it is off")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return faulty{err} })
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: nothing, RunE: started,
			Long: "Serves in the foreground and logs to standard error. SIGTERM is the notice to leave, SIGHUP reads GW_CONFIG\n" +
				"again. Ends with 0 after a notice, 1 if the address can't be listened on, 2 if what it is told is faulty."},
		&cobra.Command{Use: "check", Short: "Read what serve would be told, and start nothing", Args: nothing,
			Long: "Reads the file of --settings with all that it names, and GW_CONFIG where that is set. Prints ok and ends\n" +
				"with 0, or one line (what, where, found, expected) and ends with 2.",
			RunE: func(c *cobra.Command, _ []string) error {
				if settings == "" && os.Getenv("GW_CONFIG") == "" {
					return faulty{errors.New("check: found nothing, expected --settings or GW_CONFIG")}
				}
				if _, err := operators(settings); err != nil {
					return faulty{err}
				}
				if os.Getenv("GW_CONFIG") != "" {
					if _, err := config.Load(os.Getenv); err != nil {
						return faulty{err}
					}
				}
				fmt.Fprintln(c.OutOrStdout(), "ok")
				return nil
			}},
		&cobra.Command{Use: "version", Short: "Tell what this program was built from", Args: nothing,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "thymechute", version()) }},
	)
	return root
}

// start reads all that serve is told, and serves.
func start(settings string, signals <-chan os.Signal) error {
	given, err := config.Load(os.Getenv)
	if err != nil {
		return faulty{err}
	}
	file, err := operators(settings)
	if err != nil {
		return faulty{err}
	}
	return serve(given, file, signals)
}

// operators reads the operator's file; none is an empty one.
func operators(path string) (*operator.Settings, error) {
	if path == "" {
		return &operator.Settings{}, nil
	}
	return operator.Load(path)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	words := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			words += " " + s.Key + "=" + s.Value
		}
	}
	return words + " " + info.GoVersion
}
