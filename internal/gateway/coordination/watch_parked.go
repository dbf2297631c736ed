package coordination

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// watchPollTimeout is how long a watch is left with the node that leads its group, before it is asked for again: so long a lead that was lost
// without a word is not noticed.
const watchPollTimeout = 600 * time.Millisecond

// parkedWatch is one that waits for a put, where its group is led.
type parkedWatch struct {
	sequence      uint32
	group         groups.ID
	keyGroup      string
	afterRevision uint64
	deadline      time.Duration
	reply         replyFunc
}

// serveWatch answers a watch as soon as there is something to tell, or its time has run out.
func (s *Service) serveWatch(group groups.ID, c *Call, reply replyFunc) {
	state := s.hosted[group].state
	if c.AfterRevision == 0 {
		s.readLinearizable(group, s.fault == watchesAlone, reply, func() Result { return Result{Revision: state.keyGroupRevision(c.Name)} })
		return
	}
	a := state.eventsAfter(c.Name, c.AfterRevision)
	if a.Status != StatusOK || len(a.Events) > 0 {
		reply(AttemptDone, a)
		return
	}
	w := &parkedWatch{sequence: s.nextSequence(), group: group, keyGroup: c.Name, afterRevision: c.AfterRevision, deadline: s.host.Now() + c.Timeout, reply: reply}
	if c.Timeout <= 0 || len(s.parkedWatches) >= maxParkedWatches {
		s.expireWatch(w)
		return
	}
	s.parkedWatches[w.sequence] = w
	if s.parkedByKeyGroup[w.keyGroup] == nil {
		s.parkedByKeyGroup[w.keyGroup] = map[uint32]*parkedWatch{}
	}
	s.parkedByKeyGroup[w.keyGroup][w.sequence] = w
	s.env.ScheduleAt(w.deadline, w.sequence)
}

// expireWatch answers a watch whose time has run out. A majority is asked whether there is truly nothing to tell.
func (s *Service) expireWatch(w *parkedWatch) {
	s.readLinearizable(w.group, s.fault == watchesAlone, w.reply, func() Result { return s.hosted[w.group].state.eventsAfter(w.keyGroup, w.afterRevision) })
}

func (s *Service) handleWatchTimer(w *parkedWatch) {
	if s.host.Now() < w.deadline {
		return
	}
	s.unpark(w)
	s.expireWatch(w)
}

func (s *Service) unpark(w *parkedWatch) {
	delete(s.parkedWatches, w.sequence)
	delete(s.parkedByKeyGroup[w.keyGroup], w.sequence)
	if len(s.parkedByKeyGroup[w.keyGroup]) == 0 {
		delete(s.parkedByKeyGroup, w.keyGroup)
	}
}

// parkedIn are the watches that wait for a group, in their order.
func (s *Service) parkedIn(id groups.ID) (all []*parkedWatch) {
	for _, number := range sortedKeys(s.parkedWatches) {
		if w := s.parkedWatches[number]; w.group == id {
			all = append(all, w)
		}
	}
	return all
}

// NotifyWatchers tells the watches that wait here of what was put. The node calls it at the end of each turn.
func (s *Service) NotifyWatchers() {
	for len(s.changedKeyGroups) > 0 {
		name := s.changedKeyGroups[0]
		s.changedKeyGroups = s.changedKeyGroups[1:]
		for _, number := range sortedKeys(s.parkedByKeyGroup[name]) {
			w := s.parkedWatches[number]
			if a := s.hosted[w.group].state.eventsAfter(name, w.afterRevision); a.Status != StatusOK || len(a.Events) > 0 {
				s.unpark(w)
				w.reply(AttemptDone, a)
			}
		}
	}
	s.changedKeyGroups = nil
}

// watchKey names the watches of callers that wait for the same.
type watchKey struct {
	keyGroup      string
	afterRevision uint64
}

// sharedWatch are these. They have one question on its way to whoever leads the group, whatever their number.
type sharedWatch struct {
	key      watchKey
	watchers []watcher
}

// watcher is a caller that waits.
type watcher struct {
	deadline  time.Duration
	inRequest bool // the present question was asked after it came
	done      func(Result)
}

// startWatch takes a caller's watch. A long one waits here together with those that wait for the same.
func (s *Service) startWatch(c *Call, then func(Result)) {
	if c.AfterRevision == 0 || c.Timeout < 2*watchPollTimeout {
		if c.AfterRevision == 0 {
			c.Timeout = 0
		}
		s.startCall(c, callTimeout+c.Timeout, then)
		return
	}
	if s.watcherCount >= maxWatchers {
		then(Result{Status: StatusLimitReached})
		return
	}
	now := s.host.Now()
	key := watchKey{c.Name, c.AfterRevision}
	w := s.sharedWatches[key]
	s.watcherCount++
	if w != nil {
		w.watchers = append(w.watchers, watcher{deadline: now + c.Timeout, done: then})
		return
	}
	w = &sharedWatch{key: key, watchers: []watcher{{deadline: now + c.Timeout, done: then}}}
	s.sharedWatches[key] = w
	s.pollShared(w)
}

// pollShared asks for what watchers wait for, for as long as the first of them waits.
func (s *Service) pollShared(w *sharedWatch) {
	wait := watchPollTimeout
	for i := range w.watchers {
		w.watchers[i].inRequest = true
		wait = min(wait, max(w.watchers[i].deadline-s.host.Now(), 0))
	}
	c := Call{Operation: KeyWatch, Name: w.key.keyGroup, AfterRevision: w.key.afterRevision, Timeout: wait}
	s.startCall(&c, callTimeout+wait, func(a Result) { s.sharedPollEnded(w, a) })
}

// sharedPollEnded hands out an answer. That there is nothing to tell ends the watches that were there when it was asked, and whose
// time has run out.
func (s *Service) sharedPollEnded(w *sharedWatch, a Result) {
	now := s.host.Now()
	var ended, left []watcher
	for _, x := range w.watchers {
		if a.Status == StatusOK && len(a.Events) == 0 && (x.deadline > now || !x.inRequest) {
			left = append(left, x)
		} else {
			ended = append(ended, x)
		}
	}
	s.watcherCount -= len(ended)
	if w.watchers = left; len(left) == 0 {
		delete(s.sharedWatches, w.key)
	} else {
		s.pollShared(w)
	}
	for _, x := range ended {
		x.done(a)
	}
}

func sortedKeys[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
