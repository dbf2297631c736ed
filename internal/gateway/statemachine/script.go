// Package statemachine is the state that the core's ordered log tells: the configuration in force, what was taken, who has which
// seat, and which roll-outs there are. Every door folds it from the same entries, so that all come to the same. It is free of I/O.
package statemachine

import (
	"bytes"
	"encoding/gob"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// Kind is what an entry changes; its first byte in the log.
type Kind byte

const (
	Replace Kind = 'r' // the whole configuration
	Amend   Kind = 'a' // named items of it
	Seat    Kind = 's' // a door asks for a seat
	Rollout Kind = 'u' // an understudy.Entry: an order to a roll-out, or a verdict on one
)

// seatsMost bounds the order of seats.
const seatsMost = 1024

// Script is the state.
type Script struct {
	Bills    *routing.Register
	Rollouts *rollout.State
	seats    []membership.Seated
}

// New is the state before the first entry.
func New() *Script { return &Script{Bills: routing.NewRegister(), Rollouts: rollout.NewState()} }

// Entry words a change for the log.
func Entry(k Kind, body []byte) []byte { return append([]byte{byte(k)}, body...) }

// SeatEntry words a door's wish for a seat.
func SeatEntry(d membership.Seated) []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(d) // of texts alone: it can't fail
	return Entry(Seat, b.Bytes())
}

// Seats is the order of seats.
func (s *Script) Seats() []membership.Seated { return s.seats }

func billKind(k Kind) (routing.Kind, bool) {
	switch k {
	case Replace:
		return routing.Replace, true
	case Amend:
		return routing.Amend, true
	}
	return 0, false
}

// Decide tells what would become of a change now.
func (s *Script) Decide(k Kind, body []byte) (routing.Verdict, error) {
	if k == Rollout {
		return s.rollout(body, s.Rollouts.Decide)
	}
	kind, ok := billKind(k)
	if !ok {
		return routing.Taken, nil
	}
	return s.Bills.Decide(kind, body)
}

// Final is as Decide, and tells besides whether the verdict is the same in every later state: what a door that is behind may
// answer by.
func (s *Script) Final(k Kind, body []byte) (v routing.Verdict, err error, final bool) {
	if kind, ok := billKind(k); ok {
		return s.Bills.Final(kind, body)
	}
	if k != Rollout {
		return routing.Taken, nil, false
	}
	v, err = s.rollout(body, func(e *rollout.Entry) (routing.Verdict, error) {
		if s.Rollouts.Known(e.Mark) {
			return routing.Already, nil
		}
		if err := e.Inspect(); err != nil {
			return routing.Invalid, err
		}
		return routing.Taken, nil
	})
	return v, err, v != routing.Taken
}

// rollout reads an entry on roll-outs and hands it on.
func (s *Script) rollout(body []byte, to func(*rollout.Entry) (routing.Verdict, error)) (routing.Verdict, error) {
	e, err := rollout.ReadEntry(body)
	if err != nil {
		return routing.Invalid, err
	}
	return to(e)
}

// Apply takes an entry. What it can't read changes nothing: an entry of a newer program must not stop an older one.
func (s *Script) Apply(entry []byte) (routing.Verdict, error) {
	if len(entry) == 0 {
		return routing.Invalid, errors.New("empty entry")
	}
	k, body := Kind(entry[0]), entry[1:]
	if kind, ok := billKind(k); ok {
		return s.Bills.Apply(kind, body)
	}
	if k == Rollout {
		return s.rollout(body, s.Rollouts.Apply)
	}
	if k != Seat {
		return routing.Invalid, errors.Errorf("entry of unknown kind %q", k)
	}
	var d membership.Seated
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&d); err != nil {
		return routing.Invalid, errors.Wrap(err, "seat")
	}
	for i, o := range s.seats {
		if o.Addr == d.Addr {
			s.seats[i] = d
			return routing.Already, nil
		}
	}
	if len(s.seats) >= seatsMost {
		return routing.Invalid, errors.New("no seat is left")
	}
	s.seats = append(s.seats, d)
	return routing.Taken, nil
}

type kept struct {
	Bills    []byte
	Seats    []membership.Seated
	Rollouts []byte // not in snapshots of older programs
}

// Snapshot is the whole state.
func (s *Script) Snapshot() []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(kept{s.Bills.Snapshot(), s.seats, s.Rollouts.Snapshot()}) // of bytes and texts: it can't fail
	return b.Bytes()
}

// Restore reads one.
func Restore(b []byte) (*Script, error) {
	var k kept
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&k); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	bills, err := routing.Restore(k.Bills)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	rollouts, err := rollout.Restore(k.Rollouts)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return &Script{bills, rollouts, k.Seats}, nil
}
