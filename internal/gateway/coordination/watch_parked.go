package coordination

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// parkedWatch is a watch from any node that waits for a put, at the leader of its group.
type parkedWatch struct {
	sequence      uint32
	group         groups.ID
	keyGroup      string
	afterRevision uint64        // the watch waits for events with a higher revision
	deadline      time.Duration // time of this node's clock at which the watch ends even without an event
	reply         replyFunc
}

// serveWatch answers a watch as soon as there are events or the watch's timeout has passed. All events are committed, so an answer with
// events requires no confirmation of the leadership. An answer without events, or with only the current revision, requires a confirmation.
func (s *Service) serveWatch(group groups.ID, c *Call, reply replyFunc) {
	state := s.hosted[group].state
	if c.AfterRevision == 0 {
		s.readLinearizable(group, s.config.TestingKnobs.WatchWithoutQuorum, reply, func() Result {
			return Result{Revision: state.keyGroupRevision(c.Name)}
		})
		return
	}
	if result := state.eventsAfter(c.Name, c.AfterRevision); result.hasEventsOrError() {
		reply(AttemptDone, result)
		return
	}
	w := &parkedWatch{
		sequence:      s.nextSequence(),
		group:         group,
		keyGroup:      c.Name,
		afterRevision: c.AfterRevision,
		deadline:      s.host.Now() + c.Timeout,
		reply:         reply,
	}
	if c.Timeout <= 0 || len(s.parkedWatches) >= maxParkedWatches {
		s.answerExpiredWatch(w)
		return
	}
	s.parkWatch(w)
}

// hasEventsOrError reports whether the result has events or a status other than StatusOK. A watch with such a result ends.
func (r *Result) hasEventsOrError() bool { return r.Status != StatusOK || len(r.Events) > 0 }

// parkWatch stores a watch until a put in its key group or until the watch's deadline, for which it sets a timer.
func (s *Service) parkWatch(w *parkedWatch) {
	s.parkedWatches[w.sequence] = w
	if s.parkedByKeyGroup[w.keyGroup] == nil {
		s.parkedByKeyGroup[w.keyGroup] = map[uint32]*parkedWatch{}
	}
	s.parkedByKeyGroup[w.keyGroup][w.sequence] = w
	s.env.ScheduleAt(w.deadline, w.sequence)
}

// unparkWatch removes a watch from the parked watches without answering the watch.
func (s *Service) unparkWatch(w *parkedWatch) {
	delete(s.parkedWatches, w.sequence)
	delete(s.parkedByKeyGroup[w.keyGroup], w.sequence)
	if len(s.parkedByKeyGroup[w.keyGroup]) == 0 {
		delete(s.parkedByKeyGroup, w.keyGroup)
	}
}

// parkedWatchesOfGroup returns the parked watches of a group in order of sequence number.
func (s *Service) parkedWatchesOfGroup(id groups.ID) (list []*parkedWatch) {
	for _, sequence := range sortedKeys(s.parkedWatches) {
		if w := s.parkedWatches[sequence]; w.group == id {
			list = append(list, w)
		}
	}
	return list
}

// handleWatchTimer answers a parked watch if the watch's deadline has passed.
func (s *Service) handleWatchTimer(w *parkedWatch) {
	if s.host.Now() < w.deadline {
		return
	}
	s.unparkWatch(w)
	s.answerExpiredWatch(w)
}

// answerExpiredWatch answers a watch whose timeout has passed. answerExpiredWatch waits until a majority has confirmed the leadership,
// because the state of a former leader may lack events.
func (s *Service) answerExpiredWatch(w *parkedWatch) {
	s.readLinearizable(w.group, s.config.TestingKnobs.WatchWithoutQuorum, w.reply, func() Result {
		return s.hosted[w.group].state.eventsAfter(w.keyGroup, w.afterRevision)
	})
}

// NotifyWatchers answers the parked watches of the key groups that had a put. The node calls NotifyWatchers at the end of each turn, so that
// one answer holds all events of the turn.
func (s *Service) NotifyWatchers() {
	for len(s.changedKeyGroups) > 0 {
		keyGroup := s.changedKeyGroups[0]
		s.changedKeyGroups = s.changedKeyGroups[1:]
		for _, sequence := range sortedKeys(s.parkedByKeyGroup[keyGroup]) {
			w := s.parkedWatches[sequence]
			if result := s.hosted[w.group].state.eventsAfter(keyGroup, w.afterRevision); result.hasEventsOrError() {
				s.unparkWatch(w)
				w.reply(AttemptDone, result)
			}
		}
	}
	s.changedKeyGroups = nil
}

// sortedKeys returns a map's keys in ascending order, so that the same input produces the same output in the same order.
func sortedKeys[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
