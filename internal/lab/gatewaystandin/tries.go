package gatewaystandin

import (
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// clientAttempt is one try of a client, with all that is known of it.
type clientAttempt struct {
	route, ask history.Event
	answer     history.Event // none if it got none
	end        history.Event // Answered, Unheard or Left; none for what is under way at the end
	ran        []history.Event
	spoilt     bool // a backend broke its answer off, or reset the connection
}

// attemptsOf gives the tries of routed requests, in order and by their ids.
func attemptsOf(h []history.Event) (all []*clientAttempt, byID map[string]*clientAttempt) {
	byID = map[string]*clientAttempt{}
	for _, e := range Run(h) {
		r := byID[e.Txn]
		switch {
		case e.Kind == Route:
			r = &clientAttempt{route: e}
			byID[e.Txn], all = r, append(all, r)
		case r == nil:
		case e.Kind == history.Requested:
			r.ask = e
		case e.Kind == history.Answered:
			r.answer, r.end = e, e
		case e.Kind == history.Unanswered, e.Kind == history.ClientLeft:
			r.end = e
		case e.Kind == history.Arrived:
			r.ran = append(r.ran, e)
		case e.Kind == standin.Spoils:
			r.spoilt = true
		}
	}
	return all, byID
}

// requestsOf gives the tries that were sent, in order, each with its end if that must have come.
func requestsOf(h []history.Event) (sent []*clientAttempt) {
	last := time.Duration(0)
	for _, e := range h {
		last = max(last, e.Time)
	}
	all, _ := attemptsOf(h)
	for _, r := range all {
		if r.ask.Kind == "" {
			continue
		}
		if at := r.ask.Deadline + responseGrace; r.end.Kind == "" && at <= last {
			r.end = history.Event{Time: at, Kind: history.ClientLeft, Txn: r.ask.Txn}
		}
		sent = append(sent, r)
	}
	return sent
}
