// Package coordination is the calls of applications: locks, numbers, small keys and watches of keys. State is what a group's log
// folds to; Service takes calls at every node, passes them on to whoever leads the group of their name, and decides there.
// Nothing here does I/O or reads a clock: time is told, and messages are handed out.
//
// Time in a group's log is its log clock. Whoever leads stamps each entry with it. The clock goes on at the leader's steady rate
// and stands still while nobody leads, so that it never runs faster than real time; no leader, restart or step of the time of day
// sets it back. A lock's end is a time of that clock.
package coordination
