// Command clovergap is the front door: it meters many customers' use of one shared service.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"clovergap/internal/frontdoor/config"
	"clovergap/internal/frontdoor/operator"
	"clovergap/internal/invariant"
)

// version is set by the build where it knows better.
var version = "0.1.0-dev"

// usageError is one of how the program was called: it exits with 2, not 1.
type usageError struct{ error }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	root := command()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "clovergap:", err)
	var usage usageError
	if errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command") {
		return 2
	}
	return 1
}

func none(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown argument %q", args[0])}
	}
	return nil
}

func command() *cobra.Command {
	var path, oper string
	root := &cobra.Command{Use: "clovergap", Short: "Meters many customers' use of one shared service", SilenceUsage: true, SilenceErrors: true,
		Long: "clovergap meters many customers' use of one shared service. SIGHUP reads the configuration again, SIGUSR1 logs the\n" +
			"counters, SIGTERM ends in order. Exit codes: 0 good, 1 failed, 2 usage.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q", args[0])}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprint(os.Stderr, c.UsageString())
			return usageError{errors.New("no command given")}
		}}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	files := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&path, "config", os.Getenv("NODE_CONFIG"), "the platform's configuration, JSON (default $NODE_CONFIG)")
		c.Flags().StringVar(&oper, "operator", os.Getenv("CLOVERGAP_OPERATOR"), "operator file, TOML (default $CLOVERGAP_OPERATOR)")
		return c
	}
	examine := func(*cobra.Command, []string) error { return checkFiles(path, oper) }
	root.AddCommand(
		files(&cobra.Command{Use: "serve", Short: "Run a front door", Args: none,
			Example: "  clovergap serve --config config.json --operator deploy/operator.toml",
			RunE:    func(*cobra.Command, []string) error { return serve(path, oper) }}),
		files(&cobra.Command{Use: "check", Short: "Tell what is wrong with a configuration (as config check)", Args: none, RunE: examine}),
		&cobra.Command{Use: "version", Short: "Tell the version", Args: none, Run: func(*cobra.Command, []string) { printVersion() }})
	conf := &cobra.Command{Use: "config", Short: "Check, print or explain configurations", Args: none,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("wants check, print or example")}
		}}
	conf.AddCommand(
		files(&cobra.Command{Use: "check", Short: "Tell what is wrong with the configuration and the operator file", Args: none,
			Example: "  clovergap config check --operator deploy/operator.toml", RunE: examine}),
		files(&cobra.Command{Use: "print", Short: "Print the operator file as it holds, defaults included", Args: none,
			RunE: func(*cobra.Command, []string) error {
				f, err := operator.Load(oper)
				return printOperatorFile(f, err)
			}}),
		&cobra.Command{Use: "example", Short: "Print an operator file with all it may say", Args: none,
			RunE: func(*cobra.Command, []string) error { return printOperatorFile(operator.Default(), nil) }})
	root.AddCommand(conf, leasesCommand(files, &oper), turnCommand(files, &oper))
	return root
}

// printOperatorFile prints an operator file.
func printOperatorFile(f operator.File, err error) error {
	if err != nil {
		return err
	}
	text, err := operator.Text(f)
	fmt.Print(text)
	return err
}

func printVersion() {
	build := "release"
	if invariant.Debug {
		build = "debug"
	}
	goes := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goes = info.GoVersion
	}
	fmt.Println("clovergap", version, build, goes)
}

// checkFiles reads both files as serve would. Either may be left out, not both.
func checkFiles(path, oper string) error {
	if oper != "" {
		if _, err := operator.Load(oper); err != nil {
			return err
		}
		fmt.Printf("%s: fine\n", oper)
		if path == "" {
			return nil
		}
	}
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	known, err := validate(c)
	if err != nil {
		return err
	}
	fmt.Printf("%s: front door %d of %s, %d products, %d plans, %d backends known, listens on %s\n", path,
		c.GatewayIndex, c.Settings["gateways"], len(c.Products), len(c.Plans), len(known.Entries), c.Listen)
	return nil
}
