// Command drill hosts gateway instances on the simulator's wire: frames in on standard input, replies out.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"clovergap/internal/frontdoor/simwire"
)

func main() {
	debug.SetGCPercent(400) // many instances in one process, each with little that lives long
	host := &simwire.Host{}
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
