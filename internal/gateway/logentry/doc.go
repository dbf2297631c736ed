// Package logentry is what the packages that decide by the entries of a log have in common: encoding of entries and snapshots,
// validation of orders in JSON, and bounded tables that come out the same at every node.
//
// All of it is deterministic, since each node decides for itself and must come to the same: no I/O, no clock, no random numbers.
package logentry
