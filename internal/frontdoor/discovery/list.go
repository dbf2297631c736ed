// Package discovery keeps the list of backends: the one that the configuration gives, then what a watch tells.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"

	"clovergap/control"
)

// Entry is one backend and where it listens.
type Entry struct {
	control.Endpoint
	Addr string
}

// List is one answer of discovery.
type List struct {
	Rev      uint64
	Complete bool
	Entries  []Entry
}

type document struct {
	Rev     *uint64
	All     bool
	Targets []struct {
		UID      string
		Endpoint string
		AZ       string
		PodGroup int `json:"pod_group"`
		State    string
		Hint     float64 `json:"capacity_hint"`
		BootMS   int64   `json:"boot_ms"`
	}
}

var backendStates = map[string]control.BackendState{"Ready": control.Ready, "Terminating": control.Draining,
	"Gone": control.Gone}

// Parse takes discovery's form apart. clock puts a Unix time on the front door's clock.
func Parse(text []byte, zones []string, clock func(time.Time) time.Duration) (List, error) {
	var f document
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Rev == nil {
		return List{}, errors.New("no rev")
	}
	l := List{Rev: *f.Rev, Complete: f.All}
	for _, t := range f.Targets {
		state, known := backendStates[t.State]
		if t.UID == "" || !known {
			return List{}, fmt.Errorf("target %q in state %q", t.UID, t.State)
		}
		if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && state != control.Gone {
			return List{}, fmt.Errorf("target %q at %q", t.UID, t.Endpoint)
		}
		e := Entry{Addr: t.Endpoint, Endpoint: control.Endpoint{ID: backendID(t.UID), Zone: -1, Pod: control.PodID(t.PodGroup),
			State: state, Capacity: t.Hint}}
		for i, h := range zones {
			if h == t.AZ {
				e.Zone = control.ZoneID(i)
			}
		}
		if t.BootMS > 0 {
			e.Started = clock(time.UnixMilli(t.BootMS))
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

// backendID is the same at every front door, as a uid is.
func backendID(uid string) control.BackendID {
	h := fnv.New64a()
	h.Write([]byte(uid))
	return control.BackendID(h.Sum64())
}
