package controlapi

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// maxBackendIDBytes bounds a backend's ID.
const maxBackendIDBytes = 128

// errNoBackendID is the error of a path that names no backend, or by too long an ID.
var errNoBackendID = errors.New("no id in the path")

// backendID reads the ID that follows a path's prefix.
func backendID(path, prefix string) (string, error) {
	id := strings.TrimPrefix(path, prefix)
	if id == "" || len(id) > maxBackendIDBytes {
		return "", errNoBackendID
	}
	return id, nil
}

// heartbeat takes what a backend reports of itself.
func (h *Handler) heartbeat(c *downstream.Client, request call) {
	record, err := parseHeartbeat(request)
	if err != nil {
		c.Reject(400, counters.BadRequest, err.Error())
		return
	}
	record.Age = c.InputDelay()
	ticket := deferAnswer(c)
	h.node.Heartbeat(record, func(ok bool, target string) { h.respondAcknowledged(ticket, ok, target) })
}

// deregister takes a backend out of service.
func (h *Handler) deregister(c *downstream.Client, request call) {
	id, err := backendID(request.path, pathDeregister)
	if err != nil {
		c.Reject(400, counters.BadID, err.Error())
		return
	}
	ticket := deferAnswer(c)
	h.node.Deregister(id, func(ok bool, target string) { h.respondAcknowledged(ticket, ok, target) })
}

func parseHeartbeat(request call) (registry.Record, error) {
	id, err := backendID(request.path, pathHeartbeat)
	if err != nil {
		return registry.Record{}, err
	}
	var heartbeat Heartbeat
	if err = json.Unmarshal(request.body, &heartbeat); err != nil {
		return registry.Record{}, errors.Wrap(err, "beat")
	}
	if err = validate.Struct(heartbeat); err != nil {
		return registry.Record{}, errors.Wrap(err, "beat")
	}
	slowStartLeft := time.Duration(0)
	if heartbeat.ColdLeft != "" {
		if slowStartLeft, err = routing.ParseDuration(heartbeat.ColdLeft); err != nil {
			return registry.Record{}, errors.Wrap(err, "cold_left")
		}
	}
	phase := registry.Ready
	if heartbeat.Phase == Draining {
		phase = registry.Draining
	}
	return registry.Record{
		ID:            id,
		Service:       heartbeat.Target,
		Addr:          heartbeat.Address,
		Zone:          heartbeat.Zone,
		Generation:    heartbeat.Generation,
		Capacity:      heartbeat.Capacity,
		Phase:         phase,
		SlowStartLeft: slowStartLeft,
		Seq:           heartbeat.CallSeq,
	}, nil
}

// respondAcknowledged answers a backend's call.
func (h *Handler) respondAcknowledged(ticket downstream.Ticket, acknowledged bool, target string) {
	if !acknowledged {
		h.respond(ticket, 503, []byte("too few nodes have heard it"))
		return
	}
	h.respond(ticket, 200, marshal(HeartbeatAnswer{BeatTarget: target}))
}
