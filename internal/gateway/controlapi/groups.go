package controlapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// Paths of the calls on coordination groups; a transfer's is followed by the group's number.
const (
	pathGroups        = "/api/Groups.List"
	pathTransferGroup = "/api/Groups.Move/"
)

// handleGroups takes a call on groups; false: the path is another's.
func (h *Handler) handleGroups(c *downstream.Client, request call) bool {
	number, transfer := strings.CutPrefix(request.path, pathTransferGroup)
	if !transfer && request.path != pathGroups {
		return false
	}
	method := http.MethodGet
	if transfer {
		method = http.MethodPost
	}
	switch {
	case request.method != method:
		c.Reject(405, counters.NoSuchMethod, "GET to list, POST to move")
	case transfer:
		h.transferGroup(c, number, request.body)
	default:
		h.respond(deferAnswer(c), 200, marshal(h.node.GroupList()))
	}
	return true
}

// transferGroup has another member lead a group.
func (h *Handler) transferGroup(c *downstream.Client, number string, body []byte) {
	ticket := deferAnswer(c)
	var target GroupMove
	id, err := parseGroup(number)
	if err == nil {
		err = parseBody(body, &target)
	}
	switch {
	case err != nil:
		h.respondInvalid(ticket, err)
	case !h.node.TransferGroup(id, target.To):
		h.respond(ticket, 409, []byte("this node does not lead the group, or the other one could not lead it at once"))
	default:
		h.respond(ticket, 200, []byte("{}"))
	}
}

func parseGroup(number string) (groups.ID, error) {
	id, err := strconv.ParseUint(number, 10, 8)
	if err != nil || id >= groups.Count {
		return 0, errors.Errorf("groups are numbered from 0 to %d", groups.Count-1)
	}
	return groups.ID(id), nil
}
