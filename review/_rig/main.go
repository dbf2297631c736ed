package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the plays by name. Each returns how often the rule was broken.
var cases = map[string]struct {
	rule string
	play func(d *deployment, trouble bool) (broken int, err error)
}{
	"slow-reader":     {"LOST", slowReader},
	"forgotten-leave": {"DRAIN", forgottenLeave},
	"leaving-clients": {"LOST", leavingClients},
}

// main plays the case that the first argument names: 1 means that the rule was broken, 0 that it held, 2 that the case could not run.
func main() {
	if len(os.Args) != 2 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: REPO=DIR RECORD=FILE rig CASE")
		os.Exit(2)
	}
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{f: f, start: time.Now()}
	os.Exit(run(rec, os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func run(rec *record, name string, trouble bool) int {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		rec.say("can't run: %v", err)
		return 2
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		rec.say("can't run: stopped before the verdict")
		d.close()
		os.Exit(2)
	}()
	broken, err := cases[name].play(d, trouble)
	if err != nil {
		rec.say("can't run: %v", err)
		return 2
	}
	if broken > 0 {
		rec.say("%s is broken, %d times", cases[name].rule, broken)
		return 1
	}
	rec.say("%s held", cases[name].rule)
	return 0
}
