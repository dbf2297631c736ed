package controlapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/slots"
)

// Node is what stands behind the calls. Every then is called once, in a turn, sooner or later.
type Node interface {
	// Ready tells whether clients may be sent to this node.
	Ready() bool
	// Change brings a change to the leader: 200 accepted, 400 invalid, 412 another version is current, 413 too large, 503 not
	// now, StatusAmbiguous.
	Change(kind statemachine.Kind, body []byte, then func(status int, body []byte))
	// ReadConfiguration reads the newest configuration: 200 with it, 503 if it can't be confirmed as the newest now.
	ReadConfiguration(then func(status int, body []byte))
	// Heartbeat takes a backend's heartbeat. acknowledged: enough nodes have a copy; target is where the next one is to go,
	// "": wherever this one went.
	Heartbeat(w registry.Record, then func(acknowledged bool, target string))
	// Deregister takes a backend out of service. acknowledged and target are as with Heartbeat.
	Deregister(id string, then func(acknowledged bool, target string))
	// Status is this node's own view.
	Status() NodeStatus
	Rollouts
	Coordination
}

// Paths of the calls; the last two are followed by a backend's ID.
const (
	pathReady      = "/api/ready"
	pathReplace    = "/api/Config.Replace"
	pathAmend      = "/api/Config.Amend"
	pathRead       = "/api/Config.Read"
	pathStatus     = "/api/Node.Status"
	pathHeartbeat  = "/api/Backends.Heartbeat/"
	pathDeregister = "/api/Backends.Leave/"
)

// StatusAmbiguous is the status, among nodes and their parts, of a change that may have been applied or may still be. A
// caller gets 503.
const StatusAmbiguous = http.StatusGatewayTimeout

// retryAfterUnavailable is the Retry-After of a call that no leader could commit.
const retryAfterUnavailable = 200 * time.Millisecond

// contentType of every answer that has a body.
const contentType = "application/json"

// validate checks the tags of the generated types.
var validate = validator.New(validator.WithRequiredStructEnabled())

// Handler answers the calls on the connections of one server.
type Handler struct {
	server *downstream.Server
	node   Node
}

// New makes the handler of a server's calls.
func New(server *downstream.Server, node Node) *Handler { return &Handler{server, node} }

// Left does nothing: a call goes on when its caller has left.
func (h *Handler) Left(slots.Ref) {}

// call is a caller's request.
type call struct {
	method string
	path   string // without the query
	query  string
	body   []byte // the connection's: valid until Take returns
}

// Take takes a complete call.
func (h *Handler) Take(c *downstream.Client) {
	head, message := c.Request()
	path, query, _ := strings.Cut(string(head.Target(message)), "?")
	request := call{method: string(head.Method(message)), path: path, query: query, body: head.Body(message)}
	if h.handleGroups(c, request) || h.handleCoordination(c, request) {
		return
	}
	if name, ok := strings.CutPrefix(path, pathRollout); ok {
		h.handleRollout(c, request, name)
		return
	}
	method, handle := route(path)
	switch {
	case handle == nil:
		c.Reject(404, counters.NoSuchPath, "no such call")
	case request.method != method:
		c.Reject(405, counters.NoSuchMethod, method+" only")
	default:
		handle(h, c, request)
	}
}

// handlerFunc answers a call whose path and method are right.
type handlerFunc func(h *Handler, c *downstream.Client, request call)

// route finds the call of a path, and its method; nil: there is none.
func route(path string) (method string, handle handlerFunc) {
	switch path {
	case pathReady:
		return http.MethodGet, (*Handler).answerReady
	case pathStatus:
		return http.MethodGet, (*Handler).answerStatus
	case pathRead:
		return http.MethodGet, (*Handler).readConfiguration
	case pathReplace, pathAmend:
		return http.MethodPost, (*Handler).change
	}
	switch {
	case strings.HasPrefix(path, pathHeartbeat):
		return http.MethodPost, (*Handler).heartbeat
	case strings.HasPrefix(path, pathDeregister):
		return http.MethodPost, (*Handler).deregister
	}
	return "", nil
}

func (h *Handler) answerReady(c *downstream.Client, _ call) {
	status := 503
	if h.node.Ready() {
		status = 200
	}
	c.Answer(func(b []byte, last bool) []byte { return answer.WithBody(b, status, "", nil, 0, last) })
}

func (h *Handler) answerStatus(c *downstream.Client, _ call) { answerJSON(c, h.node.Status()) }

func (h *Handler) readConfiguration(c *downstream.Client, _ call) {
	ticket := deferAnswer(c)
	h.node.ReadConfiguration(func(status int, body []byte) { h.respond(ticket, status, body) })
}

func (h *Handler) change(c *downstream.Client, request call) {
	kind := statemachine.KindReplaceConfig
	if request.path == pathAmend {
		kind = statemachine.KindAmendConfig
	}
	body := bytes.Clone(request.body) // it is proposed in a later turn
	ticket := deferAnswer(c)
	h.node.Change(kind, body, func(status int, text []byte) { h.respond(ticket, status, text) })
}

// deferAnswer has a call wait for its answer, which the ticket then names. A caller that has left by then makes the
// ticket void.
func deferAnswer(c *downstream.Client) downstream.Ticket {
	ticket := c.Ticket()
	c.AwaitAnswer(0, "")
	return ticket
}

// respond answers a deferred call. With another status than 200, body is the reason in words.
func (h *Handler) respond(ticket downstream.Ticket, status int, body []byte) {
	if status != 200 {
		body, _ = json.Marshal(Refusal{Error: errorKind(status), Detail: string(body)}) // strings always have a form
	}
	if status == StatusAmbiguous {
		status = 503
	}
	retryAfter := time.Duration(0)
	if status == 503 {
		retryAfter = retryAfterUnavailable
	}
	h.respondJSON(ticket, status, body, retryAfter)
}

// respondJSON answers a deferred call with a body as it is. retryAfter 0: no such header.
func (h *Handler) respondJSON(ticket downstream.Ticket, status int, body []byte, retryAfter time.Duration) {
	h.server.Answer(ticket, func(b []byte, last bool) []byte {
		return answer.WithBody(b, status, contentType, body, retryAfter, last)
	})
}

// respondInvalid answers a deferred call that is wrong in itself.
func (h *Handler) respondInvalid(ticket downstream.Ticket, err error) {
	h.respond(ticket, 400, []byte(err.Error()))
}

// answerJSON answers a call at once.
func answerJSON(c *downstream.Client, value any) {
	text := marshal(value)
	c.Answer(func(b []byte, last bool) []byte { return answer.WithBody(b, 200, contentType, text, 0, last) })
}

// marshal gives a value of a generated type as JSON. These always have a form; were one without, its error would be seen.
func marshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return text
}

// errorKind is the closed list of what may be wrong with a call, as Refusal.Error has it.
func errorKind(status int) string {
	switch status {
	case 400:
		return "invalid"
	case 412:
		return "conflict"
	case 413:
		return "too_large"
	case 503:
		return "unavailable"
	case StatusAmbiguous:
		return "unclear"
	}
	return "failed"
}
