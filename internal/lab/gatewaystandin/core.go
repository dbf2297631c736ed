package gatewaystandin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"clovergap/internal/gateway/controlapi"
)

// Status is what a door says of itself; nil if it says nothing in time.
func (t *Troupe) Status(ctx context.Context, d *Door, most time.Duration) *controlapi.HouseStatus {
	status, text, err := t.call(ctx, "GET", d.Control, "/api/House.Status", nil, most)
	s := new(controlapi.HouseStatus)
	if err != nil || status != http.StatusOK || json.Unmarshal(text, s) != nil {
		return nil
	}
	return s
}

// Leader is who leads the core and the view, if all of the core say the same, have all, and every door is ready; else nil.
func (t *Troupe) Leader(ctx context.Context) (leader *Door, view uint64) {
	for _, d := range t.Doors {
		s := t.Status(ctx, d, time.Second)
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
		if c.View != view || !c.Settled || c.Behind > 0 || c.Learner != "" || len(c.Members) != len(t.Cores()) {
			return nil, 0
		}
		if c.Role == "leading" {
			leader = d
		}
	}
	return leader, view
}
