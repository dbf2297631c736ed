package coordination

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// watchSlice is how long a watch is left with the node that leads its group, before it is asked for again: so long a lead that was lost
// without a word is not noticed.
const watchSlice = 600 * time.Millisecond

// parkedWatch is one that waits for a put, where its group is led.
type parkedWatch struct {
	number uint32
	group  groups.ID
	name   string
	after  uint64
	until  time.Duration
	reply  replier
}

// serveWatch answers a watch as soon as there is something to tell, or its time has run out.
func (s *Service) serveWatch(group groups.ID, c *Call, reply replier) {
	state := s.led[group].state
	if c.After == 0 {
		s.confirm(group, s.fault == watchesAlone, reply, func() Answer { return Answer{Revision: state.revision(c.Name)} })
		return
	}
	a := state.after(c.Name, c.After)
	if a.Status != OK || len(a.Events) > 0 {
		reply(Done, a)
		return
	}
	w := &parkedWatch{number: s.next(), group: group, name: c.Name, after: c.After, until: s.host.Now() + c.Wait, reply: reply}
	if c.Wait <= 0 || len(s.parked) >= mostParked {
		s.endWatch(w)
		return
	}
	s.parked[w.number] = w
	if s.waiting[w.name] == nil {
		s.waiting[w.name] = map[uint32]*parkedWatch{}
	}
	s.waiting[w.name][w.number] = w
	s.outside.At(w.until, w.number)
}

// endWatch answers a watch whose time has run out. A majority is asked whether there is truly nothing to tell.
func (s *Service) endWatch(w *parkedWatch) {
	s.confirm(w.group, s.fault == watchesAlone, w.reply, func() Answer { return s.led[w.group].state.after(w.name, w.after) })
}

func (s *Service) parkedDue(w *parkedWatch) {
	if s.host.Now() < w.until {
		return
	}
	s.unpark(w)
	s.endWatch(w)
}

func (s *Service) unpark(w *parkedWatch) {
	delete(s.parked, w.number)
	delete(s.waiting[w.name], w.number)
	if len(s.waiting[w.name]) == 0 {
		delete(s.waiting, w.name)
	}
}

// parkedOf are the watches that wait for a group, in their order.
func (s *Service) parkedOf(id groups.ID) (all []*parkedWatch) {
	for _, number := range sortedKeys(s.parked) {
		if w := s.parked[number]; w.group == id {
			all = append(all, w)
		}
	}
	return all
}

// Flush tells the watches that wait here of what was put. The node calls it at the end of each turn.
func (s *Service) Flush() {
	for len(s.news) > 0 {
		name := s.news[0]
		s.news = s.news[1:]
		for _, number := range sortedKeys(s.waiting[name]) {
			w := s.parked[number]
			if a := s.led[w.group].state.after(name, w.after); a.Status != OK || len(a.Events) > 0 {
				s.unpark(w)
				w.reply(Done, a)
			}
		}
	}
	s.news = nil
}

// watchKey names the watches of callers that wait for the same.
type watchKey struct {
	name  string
	after uint64
}

// sharedWatch are these. They have one question on its way to whoever leads the group, whatever their number.
type sharedWatch struct {
	key watchKey
	all []watcher
}

// watcher is a caller that waits.
type watcher struct {
	until time.Duration
	asked bool // the present question was asked after it came
	then  func(Answer)
}

// watch takes a caller's watch. A long one waits here together with those that wait for the same.
func (s *Service) watch(c *Call, then func(Answer)) {
	if c.After == 0 || c.Wait < 2*watchSlice {
		if c.After == 0 {
			c.Wait = 0
		}
		s.ask(c, callFor+c.Wait, then)
		return
	}
	if s.watched >= mostWatchers {
		then(Answer{Status: Full})
		return
	}
	now := s.host.Now()
	key := watchKey{c.Name, c.After}
	w := s.shared[key]
	s.watched++
	if w != nil {
		w.all = append(w.all, watcher{until: now + c.Wait, then: then})
		return
	}
	w = &sharedWatch{key: key, all: []watcher{{until: now + c.Wait, then: then}}}
	s.shared[key] = w
	s.askShared(w)
}

// askShared asks for what watchers wait for, for as long as the first of them waits.
func (s *Service) askShared(w *sharedWatch) {
	wait := watchSlice
	for i := range w.all {
		w.all[i].asked = true
		wait = min(wait, max(w.all[i].until-s.host.Now(), 0))
	}
	c := Call{Operation: KeyWatch, Name: w.key.name, After: w.key.after, Wait: wait}
	s.ask(&c, callFor+wait, func(a Answer) { s.sharedEnded(w, a) })
}

// sharedEnded hands out an answer. That there is nothing to tell ends the watches that were there when it was asked, and whose
// time has run out.
func (s *Service) sharedEnded(w *sharedWatch, a Answer) {
	now := s.host.Now()
	var ended, left []watcher
	for _, x := range w.all {
		if a.Status == OK && len(a.Events) == 0 && (x.until > now || !x.asked) {
			left = append(left, x)
		} else {
			ended = append(ended, x)
		}
	}
	s.watched -= len(ended)
	if w.all = left; len(left) == 0 {
		delete(s.shared, w.key)
	} else {
		s.askShared(w)
	}
	for _, x := range ended {
		x.then(a)
	}
}

func sortedKeys[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
