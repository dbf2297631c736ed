package membership

// ActionKind is the operation that an action asks the host to perform.
type ActionKind int

// The kinds of actions.
const (
	// Connect asks to keep a link to Addr from now on.
	Connect ActionKind = iota
	// Disconnect asks to close the link to Addr and to stop keeping it.
	Disconnect
	// SendHello asks to send Addr the result of HelloTo.
	SendHello
	// Bootstrap asks to send Addr the Founders of the core. If Addr is this node, the host accepts them itself.
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
