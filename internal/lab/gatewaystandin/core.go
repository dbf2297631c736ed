package gatewaystandin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"clovergap/internal/gateway/controlapi"
)

// Status is what a node says of itself; nil if it says nothing in time.
func (d *Deployment) Status(ctx context.Context, node *Node, most time.Duration) *controlapi.NodeStatus {
	status, text, err := d.call(ctx, "GET", node.Control, "/api/Node.Status", nil, most)
	s := new(controlapi.NodeStatus)
	if err != nil || status != http.StatusOK || json.Unmarshal(text, s) != nil {
		return nil
	}
	return s
}

// Leader is who leads the core and the view, if all of the core say the same, have all, and every node is ready; else nil.
func (d *Deployment) Leader(ctx context.Context) (leader *Node, view uint64) {
	for _, node := range d.Nodes {
		s := d.Status(ctx, node, time.Second)
		if s == nil || !s.Ready {
			return nil, 0
		}
		c := s.Core
		if c == nil {
			continue
		}
		if view == 0 {
			view = c.View
		}
		if c.View != view || !c.Settled || c.Behind > 0 || c.Learner != "" || len(c.Members) != len(d.Cores()) {
			return nil, 0
		}
		if c.Role == "leading" {
			leader = node
		}
	}
	return leader, view
}
