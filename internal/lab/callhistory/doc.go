// Package callhistory checks histories of coordination calls against the operators' rules for locks, numbers, keys and watches. A history
// contains the calls and the answers as the callers saw them, with times of one clock. A history contains no internal state of the
// system.
//
// The operators name the rules as follows:
//
//   - ONE: At most one caller at a time holds a lock, and fencing tokens increase from holder to holder.
//   - ORDER: Numbers and revisions increase. No other put of a key lies between a conditional put and the revision that the conditional put
//     expects. A watch returns its events in the order of their revisions and skips none.
//   - STALE: A read returns the latest put that was acknowledged before the read was sent, or a later one.
//   - MIXED: Reads and watches return only values that were put. Each value always has the same revision.
//   - REFUSED: Reads and watches never return a put that was rejected.
//   - LOST: A watch returns each put that was acknowledged before the watch was sent. A watch can resume from a revision for as long as the
//     history is retained (Config.HistoryRetention). The calls of the final audit of package callers are answered.
//
// Linearizable checks counters and keys a second time with the porcupine library. Linearizable checks whether the calls can be put in an
// order that explains their answers, where each call takes effect between the time it was sent and the time it ended.
//
// A call without a definite answer may have taken effect at any time after it was sent. Such a call therefore breaks no rule by itself.
package callhistory
