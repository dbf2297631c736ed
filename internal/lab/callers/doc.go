// Package callers simulates applications that use the coordination calls. Lockers hold locks, and sometimes crash, pause for longer than
// their lease or acquire a lock again. Editors read and put keys, watchers watch key groups, and number callers request numbers from
// counters. Restarters end while they release a lock and acquire it again, while a rival wants it. All other callers share a few names, so
// that their calls contend with each other.
//
// The callers run on any clock and any system, which an Environment provides. The callers draw all random values from the given source,
// so the same seed and the same responses lead to the same calls. Package callhistory checks the responses. This package checks only that
// the calls of the final audit are answered.
package callers
