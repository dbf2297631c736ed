package membership

// The types in this file are the encoding of hellos on links. Gob matches fields by name, and other versions of the program read
// hellos, so a field keeps its name in this file even if the rest of the package uses another name for the value. A receiver
// ignores a field that it does not know, and a field that the sender omits is zero. SlotHolder and Founder need no such types,
// because the core's log stores them under their own field names.

// WireNode is the gob encoding of a Node. A comment gives the field of Node if its name differs.
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

// WireHello is the gob encoding of a Hello. A comment gives the field of Hello if its name differs.
type WireHello struct {
	Door  WireNode // Node
	Known []string // KnownAddrs
	Begun bool     // ClusterExists
	Parts bool     // ChunkedCalls
	Knows uint64   // Acknowledged
}

// Wire returns the hello in the form that is sent over links.
func (h *Hello) Wire() *WireHello {
	n := &h.Node
	return &WireHello{Door: WireNode{Name: n.Name, Addr: n.Addr, Control: n.ControlAddr, Zone: n.Zone, Disk: n.Disk, First: n.FirstStart,
		Life: n.Incarnation, Founded: n.Bootstrapped, Leaving: n.Leaving, House: n.ClusterID},
		Known: h.KnownAddrs, Begun: h.ClusterExists, Parts: h.ChunkedCalls, Knows: h.Acknowledged}
}

// Hello returns the hello that w encodes.
func (w *WireHello) Hello() Hello {
	n := &w.Door
	return Hello{Node: Node{Name: n.Name, Addr: n.Addr, ControlAddr: n.Control, Zone: n.Zone, Disk: n.Disk, FirstStart: n.First,
		Incarnation: n.Life, Bootstrapped: n.Founded, Leaving: n.Leaving, ClusterID: n.House},
		KnownAddrs: w.Known, ClusterExists: w.Begun, ChunkedCalls: w.Parts, Acknowledged: w.Knows}
}
