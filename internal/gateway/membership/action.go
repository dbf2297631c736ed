package membership

// ActionKind is what an action asks of the host.
type ActionKind int

// What an action asks of the host.
const (
	Connect          ActionKind = iota // keep a link to Addr from now on
	Disconnect                         // keep it no longer
	SendHello                          // send Addr what HelloTo gives
	Bootstrap                          // send Addr the Founders of the core; if that is this node, take them
	LiveNodesChanged                   // other nodes are live, or have slots, than before
)

// Action is one thing that the host is to do.
type Action struct {
	Kind     ActionKind
	Addr     string    // of all but LiveNodesChanged
	Founders []Founder // of Bootstrap
}
