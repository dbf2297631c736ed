// Package callhistory checks histories of coordination calls against the operators' rules on locks, numbers, keys and watches. A history is
// what callers saw, with times of one clock; nothing from inside the system is in it.
//
// The rules, with the operators' names for them:
//
//   - ONE: at most one caller at a time holds a lock, and fencing tokens rise from holder to holder.
//   - ORDER: numbers and revisions rise; a conditional put follows the revision that it names; a watch gives its events in order and
//     skips none.
//   - STALE: a read shows each put that was acknowledged before the read was sent.
//   - MIXED: only what was put is shown, always with the same revision.
//   - REFUSED: a put that was rejected is never shown.
//   - LOST: a watch shows each put that was acknowledged before it was sent, and can resume within the history retention; the audit at the
//     end is answered.
//
// Linearizable checks counters and keys a second time, with porcupine: whether there is an order of the calls, each between its sending and
// its end, that gives these answers.
//
// A call without a definite answer may have taken effect at any time after it was sent, so it breaks no rule by itself.
package callhistory
