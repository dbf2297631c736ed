package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/frontdoor/leasing"
	"clovergap/internal/frontdoor/operator"
)

// callSocket calls the running front door's socket, which the operator file names.
func callSocket(oper, method, target string, query url.Values) error {
	o, err := operator.Load(oper)
	if err != nil {
		return err
	}
	if !o.Leases.Enabled {
		return errors.New("leases are off: leases.on in the operator file")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	text, err := leasing.Call(ctx, o.Leases.Socket, method, target, query)
	if err == nil {
		fmt.Print(text)
	}
	return err
}

func leasesCommand(files func(*cobra.Command) *cobra.Command, oper *string) *cobra.Command {
	return files(&cobra.Command{Use: "leases", Short: "Show what the running front door holds and has promised, as JSON", Args: none,
		Example: "  clovergap leases --operator deploy/operator.toml",
		RunE:    func(*cobra.Command, []string) error { return callSocket(*oper, "GET", "/leases", nil) }})
}

func turnCommand(files func(*cobra.Command) *cobra.Command, oper *string) *cobra.Command {
	var most time.Duration
	turn := &cobra.Command{Use: "turn", Short: "Take turns to restart: at most so many of the fleet, and of a zone, at once", Args: none,
		RunE: func(*cobra.Command, []string) error { return usageError{errors.New("wants wait or done")} }}
	wait := files(&cobra.Command{Use: "wait", Short: "Wait for the running front door's turn; it keeps it while it runs, and a while beyond", Args: none,
		Example: "  clovergap turn wait --for 10m --operator deploy/operator.toml && systemctl restart front-door",
		RunE: func(*cobra.Command, []string) error {
			return callSocket(*oper, "POST", "/turn/wait", url.Values{"for": {most.String()}})
		}})
	wait.Flags().DurationVar(&most, "for", 10*time.Minute, "give up after this long, with 1")
	turn.AddCommand(wait, files(&cobra.Command{Use: "done", Short: "Give the turn back without a restart", Args: none,
		RunE: func(*cobra.Command, []string) error { return callSocket(*oper, "POST", "/turn/done", nil) }}))
	return turn
}
