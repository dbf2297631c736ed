package main

import (
	"fmt"
	"os"
	"time"

	"clovergap/control"
	"clovergap/internal/frontdoor/discovery"
	"clovergap/internal/frontdoor/operator"
	"clovergap/internal/history"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// processHistory writes this front door's history, where the operator file names a file for it. A nil one writes nothing.
type processHistory struct {
	log       *history.Log
	startedAt time.Duration
	txns      bool
}

// openHistory opens the history that the operator file asks for; nil is none.
func openHistory(o operator.History, name string) (*processHistory, error) {
	if o.File == "" {
		return nil, nil
	}
	log, err := history.ToFile(o.File, name, os.Getpid(), int64(o.MaxMB)<<20)
	if err != nil {
		return nil, err
	}
	return &processHistory{log: log, startedAt: history.Now(), txns: o.Txns}, nil
}

func (p *processHistory) add(e history.Event) {
	if p == nil {
		return
	}
	e.Time = history.Now()
	e.OwnTime = e.Time - p.startedAt
	p.log.Add(e)
}

func (p *processHistory) close() {
	if p != nil {
		p.add(history.Event{Kind: history.Down})
		p.log.Close()
	}
}

// addBackends tells what this front door now holds to be so of the backends.
func (p *processHistory) addBackends(l discovery.List) {
	if p == nil {
		return
	}
	for _, e := range l.Entries {
		p.add(history.Event{Kind: history.Observed, Key: "backend", Target: fmt.Sprint(e.ID), What: states[e.State]})
	}
}

var (
	states  = map[control.BackendState]string{control.Ready: "Ready", control.Draining: "Terminating", control.Gone: "Gone"}
	endings = map[control.Ending]string{control.Succeeded: "settled", control.Errored: "errored", control.Rejected: "full", control.TimedOut: "timed out",
		control.Unreachable: "unreachable", control.ConnectionLost: "broken", control.Canceled: "called off", control.NotSent: "not sent"}
	finals = map[control.Action]string{gate.Answered: "settled", control.Reject: "declined", control.Fail: "voided"}
)

// Sent, Ended and Final are the steps of a txn, as the gate tells them. A txn is named by this front door's number for
// it and, where it is still held, by its client's id.
func (p *processHistory) Sent(txn slots.Ref, id string, nr int, to control.BackendID) {
	p.add(history.Event{Kind: "submit", Txn: id, Key: fmt.Sprint(txn), Target: fmt.Sprint(to), Number: float64(nr)})
}

func (p *processHistory) Ended(txn slots.Ref, nr int, at control.BackendID, how control.Ending) {
	p.add(history.Event{Kind: "submission-over", Key: fmt.Sprint(txn), Target: fmt.Sprint(at), Number: float64(nr), What: endings[how]})
}

func (p *processHistory) Final(txn slots.Ref, id string, how control.Action) {
	p.add(history.Event{Kind: "final", Txn: id, Key: fmt.Sprint(txn), What: finals[how]})
}
