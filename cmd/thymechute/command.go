package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"thymechute/internal/config"
)

const configVariable = "GW_CONFIG" // environment variable with the path of the configuration file

var errNoFileToCheck = errors.New("check: neither the flag --settings nor the environment variable GW_CONFIG is set, expected at least one")

// newCommand returns the root command. Without a sub-command it does what serve does.
func newCommand(signals <-chan os.Signal) *cobra.Command {
	var operatorFile string
	serve := func(*cobra.Command, []string) error { return loadAndServe(operatorFile, signals) }
	root := &cobra.Command{
		Use:   "thymechute",
		Short: "One service instance with its overload controller",
		Long: "thymechute is one service instance: it serves requests, and rejects them at admission while their queueing\n" +
			"delay exceeds a threshold. Without a sub-command it serves. The platform sets the environment variables\n" +
			"GW_CONFIG, GW_NAME and GW_LISTEN; operators of other installations also pass --settings.",
		Args:              expectNoArgs,
		RunE:              serve,
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
	}
	root.PersistentFlags().StringVar(&operatorFile, "settings", "",
		"the operator's settings file (XML, schema deploy/thymechute.xsd); without it its features are disabled")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &configurationError{err} })
	root.AddCommand(newServeCommand(serve), newCheckCommand(&operatorFile), newVersionCommand())
	return root
}

func expectNoArgs(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return &configurationError{
		fmt.Errorf("found %q, expected a sub-command or no argument: %s --help lists the sub-commands", args[0], c.CommandPath())}
}

func newServeCommand(serve func(*cobra.Command, []string) error) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Serve until SIGTERM",
		Long: "Serves in the foreground and logs to standard error. SIGTERM starts a graceful shutdown, SIGHUP reloads the\n" +
			"file that GW_CONFIG names. Exits with 0 after a shutdown, 1 if the program cannot listen on its address, 2 if\n" +
			"the configuration is invalid.",
		Args: expectNoArgs,
		RunE: serve,
	}
}

func newCheckCommand(operatorFile *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Validate the configuration of serve without starting",
		Long: "Reads the file of --settings and all files that it names, and the file of GW_CONFIG if that is set. Prints ok\n" +
			"and exits with 0, or prints one line (what, where, found, expected) and exits with 2.",
		Args: expectNoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkConfiguration(*operatorFile); err != nil {
				return &configurationError{err}
			}
			fmt.Fprintln(c.OutOrStdout(), "ok")
			return nil
		},
	}
}

func checkConfiguration(operatorFile string) error {
	hasConfig := os.Getenv(configVariable) != ""
	if operatorFile == "" && !hasConfig {
		return errNoFileToCheck
	}
	if _, err := loadOperatorFile(operatorFile); err != nil {
		return err
	}
	if !hasConfig {
		return nil
	}
	_, err := config.Load(os.Getenv)
	return err
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print what the program was built from",
		Args:  expectNoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "thymechute", version())
		},
	}
}

// version returns the version of the module, the commit if it is known, and the version of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		isModified := setting.Key == "vcs.modified" && setting.Value == "true"
		if setting.Key == "vcs.revision" || isModified {
			text += " " + setting.Key + "=" + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
