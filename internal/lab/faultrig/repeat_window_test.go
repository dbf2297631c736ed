package faultrig

import (
	"context"
	"testing"

	"clovergap/internal/lab/spec"
)

// A front door that is paused just before it repeats a request does not send it after the backends have forgotten the first submission.
// Guards against a repeat window that is checked only when the repeat is decided on.
func TestPausedFrontDoorKeepsRepeatWindows(t *testing.T) {
	faults := []spec.Fault{{Kind: "resets", At: sec(0.5), For: sec(7.5), Share: 0.5}}
	for at := 0.6; at < 7.5; at += 0.45 {
		faults = append(faults, spec.Fault{Kind: "stall-at", Point: "gate.before-submit", Waves: 2, At: sec(at), For: sec(0.4), Share: 1, Delay: sec(0.5)})
	}
	s := three(t, 8, faults...)
	for i := range s.Products {
		if p := &s.Products[i]; p.Name != "bid" {
			p.Share = 0
		}
	}
	r, err := Play(context.Background(), s, options())
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Errorf("%s", b)
	}
}
