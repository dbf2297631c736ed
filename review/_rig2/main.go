// The rig of the second review's scripts: it starts the gateway's processes on loopback addresses, plays the stand-ins around them, and
// judges one rule by what these stand-ins saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scripts are the cases, by name: the rule that each judges, and what plays it and reports whether the rule was broken.
var scripts = map[string]struct {
	rule string
	play func(folder, program string, trouble bool) (broken bool)
}{
	"late-finish": {"ONE", lateFinish},
}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]].play == nil {
		fmt.Println("usage: rig CASE FOLDER GATEWAY")
		os.Exit(2)
	}
	script := scripts[os.Args[1]]
	openRecord(os.Args[2])
	temporary, err := os.MkdirTemp("", "review-")
	must(err)
	program, err := filepath.Abs(os.Args[3])
	must(err)
	if _, err = os.Stat(program); err != nil {
		giveUp("no gateway: %v", err)
	}
	remove := func() { os.RemoveAll(temporary) }
	onExit = remove
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		<-signals
		giveUp("ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { giveUp("not over after 115 s") })
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	if script.play(temporary, program, trouble) {
		note("%s is broken", script.rule)
		finish(1)
	}
	note("%s held", script.rule)
	finish(0)
}
