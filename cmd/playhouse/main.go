// Command playhouse is the gateway: one program for all machines. `playhouse door` runs a door; the other commands are
// for operators.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"clovergap/internal/callsheet"
	"clovergap/internal/check"
	"clovergap/internal/house"
)

// version is set by the build where it knows better.
var version = "0.1.0-dev"

type args struct {
	Door  *doorCmd  `arg:"subcommand:door" help:"run a door with the settings file that CLOVERGAP_BOOT names"`
	Check *checkCmd `arg:"subcommand:check" help:"tell what is wrong with a settings file or a configuration"`
}

func (args) Description() string {
	return "playhouse is an API gateway: many doors, one configuration.\n" +
		"Exit codes: 0 good, 1 failed, 2 called wrongly."
}

func (args) Version() string {
	build := "release"
	if check.Debug {
		build = "debug"
	}
	return "playhouse " + version + " " + build
}

func main() {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "playhouse"}, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "playhouse:", err)
		os.Exit(2)
	}
	switch err := p.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(os.Stdout, p.SubcommandNames()...)
		return
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(a.Version())
		return
	case err != nil || p.Subcommand() == nil:
		p.WriteUsage(os.Stderr)
		if err == nil {
			err = errors.New("no command given")
		}
		fmt.Fprintln(os.Stderr, "playhouse:", err)
		os.Exit(2)
	}
	if err := p.Subcommand().(command).run(); err != nil {
		fmt.Fprintln(os.Stderr, "playhouse:", err)
		os.Exit(1)
	}
}

type command interface{ run() error }

type doorCmd struct {
	Settings string `arg:"--settings,env:CLOVERGAP_BOOT" help:"the settings file of this process, YAML"`
}

// memoryShare of what the machine grants is the heap's soft limit: the rest is stacks, buffers of the system, the disk's map.
const memoryShare = 0.6

func (c *doorCmd) run() error {
	if c.Settings == "" {
		return errors.New("no settings file: " + callsheet.Env + " is not set")
	}
	sheet, err := callsheet.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(50) // memory at its peak is priced, and a door allocates little
	if sheet.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(sheet.Limits.MemoryMB<<20) * memoryShare))
	}
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	h, err := house.New(sheet)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	for s := range signals {
		switch s {
		case syscall.SIGHUP:
			h.Reload(c.Settings)
		case syscall.SIGUSR1:
			h.Tell()
		default:
			h.End()
			return nil
		}
	}
	return nil
}
