// Package callers simulates the applications that use the coordination calls: holders of locks that crash, are stopped beyond their lease
// or ask again, editors and watchers of keys, and counters of numbers. They use few names, so that they meet.
//
// They run on any clock and any system: World is both. Everything random is drawn from the given source, so a seed gives the same calls
// over the same answers. What they saw is checked by package callhistory; nothing is checked here but that the audit at the end is
// answered.
package callers
