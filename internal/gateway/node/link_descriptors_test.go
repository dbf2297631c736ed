package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/proxy/eventloop"
)

// A node with a disk reserves descriptors for a link to each other node, and still has some for requests and calls where there are very
// many. Guards against a member that takes no calls: 299 links beside connections bounded as if there were 200.
func TestDescriptorsLeftForLinks(t *testing.T) {
	for _, c := range []struct {
		disk             bool
		fds, nodes, room int
	}{
		{true, 800, 3, 600}, {true, 800, 300, 400}, {true, 800, 720, 200}, {false, 800, 720, 600}, {false, 220, 3, 55},
	} {
		s := &sockets{Engine: eventloop.New("", 800, maxConnBufferBytes, 1<<20), maxFDs: c.fds}
		if c.disk {
			s.disk = &diskWriter{}
		}
		whole := s.FreeConnections()
		s.reserveLinkFDs(c.nodes)
		must.Eq(t, c.room, s.FreeConnections()+800-whole, must.Sprintf("%+v", c))
	}
}
