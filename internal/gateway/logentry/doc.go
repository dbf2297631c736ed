// Package logentry holds code that is shared by the packages that apply entries of a replicated log: the encoding of entries and
// snapshots, the validation of JSON commands, and bounded tables that are equal at all nodes.
//
// Each node applies the entries by itself and must reach the same result as the other nodes. So the package is deterministic. It does
// no I/O, reads no clock and draws no random numbers.
package logentry
