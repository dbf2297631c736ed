package membership

// ActionKind is the operation that an action asks the host to perform.
type ActionKind int

// The kinds of actions.
const (
	// Connect asks to establish a link to Addr, and to establish it again whenever it ends.
	Connect ActionKind = iota
	// Disconnect asks to close the link to Addr and not to establish it again.
	Disconnect
	// SendHello asks to send a hello to Addr. Roster.HelloTo(Addr) returns the hello.
	SendHello
	// Bootstrap asks to send the list Founders to Addr. The list contains the first members of the core. If Addr is the address of
	// this node, the host stores the list itself.
	Bootstrap
	// LiveNodesChanged reports that the set of live nodes, their incarnations or the slot holders have changed.
	LiveNodesChanged
)

// Action is one operation that the host has to perform.
type Action struct {
	Kind     ActionKind
	Addr     string    // set for all kinds except LiveNodesChanged
	Founders []Founder // set for Bootstrap only
}
