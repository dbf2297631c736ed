// Command gateway is the gateway: one program for all machines. `gateway serve` runs a node; the other
// commands are for operators.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"clovergap/internal/failpoint"
	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/invariant"
)

// version is set by the build where it knows better.
var version = "0.1.0-dev"

type args struct {
	Serve    *serveCmd    `arg:"subcommand:serve" help:"run a node with the settings file that CLOVERGAP_BOOT names"`
	Check    *checkCmd    `arg:"subcommand:check" help:"check a settings file or a configuration, offline"`
	Apply    *applyCmd    `arg:"subcommand:apply" help:"put a complete configuration in force"`
	Amend    *amendCmd    `arg:"subcommand:amend" help:"upsert and remove named items of the configuration"`
	Read     *readCmd     `arg:"subcommand:read" help:"read the newest configuration"`
	Routes   *routesCmd   `arg:"subcommand:routes" help:"list its routes"`
	Tenants  *tenantsCmd  `arg:"subcommand:tenants" help:"list its tenants, keys redacted"`
	Status   *statusCmd   `arg:"subcommand:status" help:"show the status of a node"`
	Nodes    *nodesCmd    `arg:"subcommand:nodes" help:"list the nodes"`
	Backends *backendsCmd `arg:"subcommand:backends" help:"list the backends"`
	Core     *coreCmd     `arg:"subcommand:core" help:"show the replicated log: members, term, leader, how far it is synced"`
	Rollout  *rolloutCmd  `arg:"subcommand:rollout" help:"shift a share of users onto a new version of a service"`
	Locks    *locksCmd    `arg:"subcommand:locks" help:"list the locks of applications, or show the owner of one"`
	Keys     *keysCmd     `arg:"subcommand:keys" help:"read, put and watch the small keys of applications"`
	Groups   *groupsCmd   `arg:"subcommand:groups" help:"list the coordination groups, or transfer the leadership of one"`
	About    *versionCmd  `arg:"subcommand:version" help:"print version and build"`
}

// Description is the head of the help.
func (args) Description() string {
	return "gateway is an API gateway: many nodes, one configuration.\n" +
		"Exit codes: 0 success, 1 failure, 2 usage error."
}

const examples = `  CLOVERGAP_BOOT=/etc/clovergap/settings.yaml gateway serve
  export CLOVERGAP_CONTROL=10.1.0.37:8381,10.2.0.8:8381
  gateway status
  gateway apply --parent 7 config.json
  gateway COMMAND --help`

// Version is what --version prints.
func (args) Version() string { return buildInfo() }

func buildInfo() string {
	build := "release"
	if invariant.Debug {
		build = "debug"
	}
	return "gateway " + version + " " + build
}

type versionCmd struct{}

func (versionCmd) run(out io.Writer) error {
	_, err := fmt.Fprintln(out, buildInfo(), runtime.Version())
	return err
}

// command is one task.
type command interface{ run(out io.Writer) error }

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out a command line and returns the exit code.
func run(arguments []string, out, errOut io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "gateway"}, &a)
	if err != nil {
		fmt.Fprintln(errOut, "gateway:", err)
		return exitUsage
	}
	switch err = p.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		text := examples
		if p.Subcommand() != nil {
			text = ""
			if c, ok := p.Subcommand().(interface{ examples() string }); ok {
				text = c.examples()
			}
		}
		if text != "" {
			fmt.Fprintln(out, "\nExamples:\n"+text)
		}
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitOK
	case err != nil || p.Subcommand() == nil:
		p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		if err == nil {
			err = errors.New("no command given")
		}
		fmt.Fprintln(errOut, "gateway:", err)
		return exitUsage
	}
	err = p.Subcommand().(command).run(out)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "gateway:", err)
	if errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailed
}

type serveCmd struct {
	Settings string `arg:"--settings,env:CLOVERGAP_BOOT" help:"the settings file of this process, YAML"`
}

// memoryShare of what the machine grants is the heap's soft limit: the rest is stacks, buffers of the system,
// the disk's map.
const memoryShare = 0.6

func (*serveCmd) examples() string {
	return `  CLOVERGAP_BOOT=/etc/clovergap/settings.yaml gateway serve
  gateway serve --settings settings.yaml`
}

func (s *serveCmd) run(io.Writer) error {
	signals := make(chan os.Signal, 16) // before anything else: an unhandled SIGHUP would end the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	if s.Settings == "" {
		return usageErrorf("no settings file: %s is not set", settings.PathEnv)
	}
	loaded, err := settings.Load(s.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(50) // a process over its memory limit is killed with the requests of its clients, and a node allocates little
	if loaded.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(loaded.Limits.MemoryMB<<20) * memoryShare))
	}
	failpoint.Listen(os.Stdin) // in debug builds
	n, err := node.New(loaded)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	for signal := range signals {
		switch signal {
		case syscall.SIGHUP:
			n.Reload(s.Settings)
		case syscall.SIGUSR1:
			n.LogCounters()
		default:
			n.Shutdown()
			return nil
		}
	}
	return nil
}
