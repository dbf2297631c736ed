package membership

// The form in which hellos go over links. gob goes by the names of fields: programs of other versions read these, so that a field
// keeps its name here whatever it is called in the code. A field that the other side does not know is passed over, one that it does
// not send is zero. SlotHolder and Founder are in the core's log as they are.

// WireNode is a Node as gob sends it.
type WireNode struct {
	Name    string
	Addr    string
	Control string // ControlAddr
	Zone    string
	Disk    DiskID
	First   bool   // FirstStart
	Life    uint64 // Incarnation
	Founded bool   // Bootstrapped
	Leaving bool
	House   uint64 // ClusterID
}

// WireHello is a Hello as gob sends it.
type WireHello struct {
	Door  WireNode // Node
	Known []string // KnownAddrs
	Begun bool     // ClusterExists
	Parts bool     // ChunkedCalls
	Knows uint64   // Acknowledged
}

// Wire gives a hello as it is sent.
func (h *Hello) Wire() *WireHello {
	n := &h.Node
	return &WireHello{Door: WireNode{Name: n.Name, Addr: n.Addr, Control: n.ControlAddr, Zone: n.Zone, Disk: n.Disk, First: n.FirstStart,
		Life: n.Incarnation, Founded: n.Bootstrapped, Leaving: n.Leaving, House: n.ClusterID},
		Known: h.KnownAddrs, Begun: h.ClusterExists, Parts: h.ChunkedCalls, Knows: h.Acknowledged}
}

// Hello gives a hello that was sent.
func (w *WireHello) Hello() Hello {
	n := &w.Door
	return Hello{Node: Node{Name: n.Name, Addr: n.Addr, ControlAddr: n.Control, Zone: n.Zone, Disk: n.Disk, FirstStart: n.First,
		Incarnation: n.Life, Bootstrapped: n.Founded, Leaving: n.Leaving, ClusterID: n.House},
		KnownAddrs: w.Known, ClusterExists: w.Begun, ChunkedCalls: w.Parts, Acknowledged: w.Knows}
}
