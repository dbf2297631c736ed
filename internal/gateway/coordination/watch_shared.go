package coordination

import "time"

// watchKey is what watches that can share an answer have in common.
type watchKey struct {
	keyGroup      string
	afterRevision uint64
}

// sharedWatch is the callers of this node that wait for the same events. One call to the leader stands for all of them, however many they
// are; it is renewed each watchPollTimeout.
type sharedWatch struct {
	key      watchKey
	watchers []watcher
}

// watcher is one waiting caller.
type watcher struct {
	deadline  time.Duration
	inRequest bool // the present call to the leader began after this caller came
	done      func(Result)
}

// startWatch takes a caller's watch. One that waits long enough joins those that wait for the same; another one is a call of its own.
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
	s.pollShared(w)
}

// pollShared asks the leader on behalf of all watchers, until the first of their deadlines.
func (s *Service) pollShared(w *sharedWatch) {
	timeout := watchPollTimeout
	for i := range w.watchers {
		w.watchers[i].inRequest = true
		timeout = min(timeout, max(w.watchers[i].deadline-s.host.Now(), 0))
	}
	c := Call{Operation: KeyWatch, Name: w.key.keyGroup, AfterRevision: w.key.afterRevision, Timeout: timeout}
	s.startCall(&c, callTimeout+timeout, func(result Result) { s.sharedPollEnded(w, result) })
}

// sharedPollEnded hands out a result. One without events ends only the watches whose deadline has passed and that were there when the call
// began: for the others the leader's answer may be older than they are.
func (s *Service) sharedPollEnded(w *sharedWatch, result Result) {
	now := s.host.Now()
	var ended, waiting []watcher
	for _, x := range w.watchers {
		if result.endsWatch() || x.deadline <= now && x.inRequest {
			ended = append(ended, x)
		} else {
			waiting = append(waiting, x)
		}
	}
	s.watcherCount -= len(ended)
	w.watchers = waiting
	if len(waiting) == 0 {
		delete(s.sharedWatches, w.key)
	} else {
		s.pollShared(w)
	}
	for _, x := range ended {
		x.done(result)
	}
}
