// Package logentry holds what the packages that act on log entries have in common: the encoding of entries and snapshots, the validation
// of JSON commands, and bounded tables that are equal at all nodes.
//
// Each node acts on the entries by itself and must reach the same result as the others. So the package is deterministic. It does no I/O,
// reads no clock and draws no random numbers.
package logentry
