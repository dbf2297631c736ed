package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
)

// Kind is what an entry changes. It is the first byte of an entry in the log.
type Kind byte

// The kinds of entries. The bodies of the first two are JSON as the control API takes it.
const (
	KindReplaceConfig   Kind = 'r' // the complete configuration
	KindAmendConfig     Kind = 'a' // named items of it
	KindAssignSlot      Kind = 's' // a node asks for a slot: see AssignSlotEntry
	KindRollout         Kind = 'u' // a rollout.Entry: an order to a roll-out, or a verdict on one
	KindBootstrapGroups Kind = 'f' // the coordination groups begin: see BootstrapGroupsBody
)

// EncodeEntry is an entry of a kind with a body.
func EncodeEntry(kind Kind, body []byte) []byte { return append([]byte{byte(kind)}, body...) }

// AssignSlotEntry is the entry by which a node asks for a slot, or renews what is known of its own.
func AssignSlotEntry(holder membership.SlotHolder) []byte {
	return EncodeEntry(KindAssignSlot, logentry.Encode(storeSlot(holder)))
}

// BootstrapGroupsBody is the body of the entry by which the coordination groups begin with some disks, all of them on all.
func BootstrapGroupsBody(founders []membership.Founder) []byte {
	return logentry.Encode(storeFounders(founders))
}
