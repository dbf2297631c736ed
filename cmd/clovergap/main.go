// Command clovergap is the front door: it meters many customers' use of one shared service.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/pflag"

	"clovergap/internal/check"
	"clovergap/internal/config"
)

// version is set by the build where it knows better.
var version = "0.1.0-dev"

const usage = `clovergap meters many customers' use of one shared service.

  clovergap serve [--config FILE]    run a front door
  clovergap check [--config FILE]    read a configuration and tell what is wrong with it
  clovergap version                  tell the version

The configuration is NODE_CONFIG where no file is named. SIGHUP reads it again, SIGUSR1
prints the counters, SIGTERM ends in order.
`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return 2
	}
	flags := pflag.NewFlagSet(args[0], pflag.ContinueOnError)
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	path := flags.String("config", os.Getenv("NODE_CONFIG"), "configuration file")
	commands := map[string]func(string) error{"serve": serve, "check": examine, "version": tellVersion}
	command := commands[args[0]]
	if command == nil {
		fmt.Fprint(os.Stderr, usage)
		if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
			return 0
		}
		return 2
	}
	switch err := flags.Parse(args[1:]); {
	case errors.Is(err, pflag.ErrHelp):
		return 0
	case err != nil || flags.NArg() > 0:
		if err == nil {
			err = fmt.Errorf("unknown argument %q", flags.Arg(0))
		}
		fmt.Fprintln(os.Stderr, "clovergap:", err)
		flags.Usage()
		return 2
	}
	if err := command(*path); err != nil {
		fmt.Fprintln(os.Stderr, "clovergap:", err)
		return 1
	}
	return 0
}

func tellVersion(string) error {
	build := "release"
	if check.Debug {
		build = "debug"
	}
	goes := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goes = info.GoVersion
	}
	fmt.Println("clovergap", version, build, goes)
	return nil
}

// examine reads a configuration as serve would.
func examine(path string) error {
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	known, err := usable(c)
	if err != nil {
		return err
	}
	fmt.Printf("%s: front door %d of %s, %d products, %d plans, %d backends known, listens on %s\n", path,
		c.Me, c.Settings["gateways"], len(c.Products), len(c.Plans), len(known.Entries), c.Listen)
	return nil
}
