package gatewaystandin

import (
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// clientTry is one try of a client, with all that is known of it.
type clientTry struct {
	route, ask history.Event
	answer     history.Event // none if it got none
	end        history.Event // Answered, Unheard or Left; none for what is under way at the end
	ran        []history.Event
	spoilt     bool // a backend broke its answer off, or reset the connection
}

// triesOf gives the tries of routed requests, in order and by their ids.
func triesOf(h []history.Event) (all []*clientTry, byID map[string]*clientTry) {
	byID = map[string]*clientTry{}
	for _, e := range Run(h) {
		r := byID[e.Txn]
		switch {
		case e.Kind == Route:
			r = &clientTry{route: e}
			byID[e.Txn], all = r, append(all, r)
		case r == nil:
		case e.Kind == history.Asked:
			r.ask = e
		case e.Kind == history.Answered:
			r.answer, r.end = e, e
		case e.Kind == history.Unheard, e.Kind == history.Left:
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
func requestsOf(h []history.Event) (sent []*clientTry) {
	last := time.Duration(0)
	for _, e := range h {
		last = max(last, e.T)
	}
	all, _ := triesOf(h)
	for _, r := range all {
		if r.ask.Kind == "" {
			continue
		}
		if at := r.ask.Due + listens; r.end.Kind == "" && at <= last {
			r.end = history.Event{T: at, Kind: history.Left, Txn: r.ask.Txn}
		}
		sent = append(sent, r)
	}
	return sent
}
