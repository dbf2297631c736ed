package coordination

import "time"

// watchKey identifies the watches that can share one answer, because they wait for the same events.
type watchKey struct {
	keyGroup      string
	afterRevision uint64
}

// sharedWatch holds the callers of this node that wait for the same events. One call to the leader serves all these callers. The call is
// repeated every watchPollTimeout.
type sharedWatch struct {
	key      watchKey
	watchers []watcher
}

// watcher is one waiting caller.
type watcher struct {
	deadline      time.Duration // time of this node's clock at which the caller's watch ends even without an event
	coveredByPoll bool          // the current call to the leader started after this caller began to wait
	done          func(Result)
}

// startWatch handles a caller's watch. A watch with a timeout of at least twice watchPollTimeout joins the shared watch for the same
// events. A shorter watch is forwarded as its own call.
func (s *Service) startWatch(c *Call, done func(Result)) {
	if c.AfterRevision == 0 {
		c.Timeout = 0
	}
	if c.Timeout < 2*watchPollTimeout {
		s.startCall(c, callTimeout+c.Timeout, done)
		return
	}
	if s.watcherCount >= maxWatchers {
		done(Result{Status: StatusLimitReached})
		return
	}
	s.watcherCount++
	newWatcher := watcher{deadline: s.host.Now() + c.Timeout, done: done}
	key := watchKey{keyGroup: c.Name, afterRevision: c.AfterRevision}
	if w := s.sharedWatches[key]; w != nil {
		w.watchers = append(w.watchers, newWatcher)
		return
	}
	w := &sharedWatch{key: key, watchers: []watcher{newWatcher}}
	s.sharedWatches[key] = w
	s.pollSharedWatch(w)
}

// pollSharedWatch sends one watch to the leader on behalf of all watchers. The watch times out at the earliest deadline of the watchers,
// but after watchPollTimeout at the latest.
func (s *Service) pollSharedWatch(w *sharedWatch) {
	timeout := watchPollTimeout
	for i := range w.watchers {
		w.watchers[i].coveredByPoll = true
		timeout = min(timeout, max(w.watchers[i].deadline-s.host.Now(), 0))
	}
	c := Call{Operation: KeyWatch, Name: w.key.keyGroup, AfterRevision: w.key.afterRevision, Timeout: timeout}
	s.startCall(&c, callTimeout+timeout, func(result Result) { s.handleSharedPollResult(w, result) })
}

// handleSharedPollResult passes a result to the watchers. A result with events or an error ends all watches. Any other result ends only the
// watches whose deadline has passed and that were already waiting when the call began. For a watch that joined later, the leader's answer may
// be older than the watch.
func (s *Service) handleSharedPollResult(w *sharedWatch, result Result) {
	now := s.host.Now()
	var ended, waiting []watcher
	for _, caller := range w.watchers {
		if result.hasEventsOrError() || caller.deadline <= now && caller.coveredByPoll {
			ended = append(ended, caller)
		} else {
			waiting = append(waiting, caller)
		}
	}
	s.watcherCount -= len(ended)
	w.watchers = waiting
	if len(waiting) == 0 {
		delete(s.sharedWatches, w.key)
	} else {
		s.pollSharedWatch(w)
	}
	for _, caller := range ended {
		caller.done(result)
	}
}
