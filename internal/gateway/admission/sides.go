package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// Two versions of a service are two deployments, each with its own line, room and usual times, and one budget of further
// tries. Calls name the main one alone; which requests go to the other is said by Open and, of each user, by Sides.

// Open is who may go to the version that is not the main one.
type Open uint8

// Who may go to a side.
const (
	Shut   Open = iota // nobody, whatever becomes of the main one
	Spare              // who finds nobody ready at the main one
	Shared             // whom Sides sends there
)

// Sides decides on which side of a roll-out a request begins, and hears how the first submissions of those ended that
// the versions are compared by.
type Sides interface {
	Begin(id control.TxnID, kind control.ProductID, service control.ServiceID) Began
	Ended(e Compared)
}

// Began is where a request begins.
type Began struct {
	Number rollout.Number
	Side   rollout.Side
	Counts bool // it is one that the versions are compared by
	Tenant uint32
}

// Compared is the end of a first submission that counts.
type Compared struct {
	Began
	Service   control.ServiceID
	Kind      control.ProductID
	Effectful bool
	At        control.BackendID
	Ending    control.Ending
	Took      time.Duration
	Cold      bool
}

// SetSides says who decides on sides. Without any roll-out it is never asked.
func (o *Controller) SetSides(s Sides) { o.sides = s }

// SetRollout puts another version beside a service, known by a number of its own, and says who may go there. What
// waits there and may not any more moves to the main one's line; what was sent ends as it will.
func (o *Controller) SetRollout(service, under control.ServiceID, open Open) {
	m, u := o.service(service), o.service(under)
	if u.main == nil {
		u.main, m.under, u.budget = m, u, m.budget
	}
	if m.open = open; open == Shared {
		return
	}
	for _, t := range u.line {
		t.waits = false
		o.todo = append(o.todo, t)
	}
	u.line = nil
}

// side settles where a txn goes next: its first submission by its user, a further one to the main version; to the
// other only from there, or where all may, and the main one has nobody for it.
func (o *Controller) side(t *txn) {
	m := t.service
	if m.main != nil {
		m = m.main
	}
	u, to := m.under, m
	if u == nil {
		return
	}
	switch none := !m.balancer.Has(t.want()) && u.balancer.Has(t.want()); {
	case m.open == Shut:
	case m.open == Spare:
		if none {
			to = u
		}
	case t.nr > 0:
		if none && rollout.May(t.began.Side, rollout.New) {
			to = u
		}
	case !t.sided:
		t.began = o.sides.Begin(t.ID, t.Product, m.id)
		if t.began.Side == rollout.New && u.balancer.Ready() > 0 {
			to = u
		} else if t.began.Side == rollout.New { // all of the new version are gone: that is no verdict
			t.began = Began{}
		}
	case t.service == u:
		to = u
	}
	t.sided = true
	if to == m && t.nr == 0 && t.began.Side == rollout.New {
		t.began = Began{}
	}
	o.move(t, to)
}

func (o *Controller) move(t *txn, to *service) {
	if t.service != to {
		t.service.holds--
		to.holds++
		t.service = to
	}
}

// crossed moves a txn that has waited in vain for the other version to the main one, where it goes at once or not
// at all: the one that is being tried out may be short of room, the main one is not to be.
func (o *Controller) crossed(t *txn) bool {
	m := t.service.main
	if m == nil || t.nr > 0 || m.balancer.Ready() == 0 {
		return false
	}
	t.service.line = slices.DeleteFunc(t.service.line, func(x *txn) bool { return x == t })
	t.waits, t.began = false, Began{}
	o.move(t, m)
	o.queue(t)
	return true
}

// mayGo tells whether a txn may be sent to the version that its deployment is: asked again with each send.
func (t *txn) mayGo() bool {
	m := t.service.main
	return m == nil || m.open == Spare || m.open == Shared && rollout.May(t.began.Side, rollout.New)
}

// compare tells of the end of a first submission. What ended by this node's own doing says nothing; one that was
// called off since its backend was silent is the backend's.
func (o *Controller) compare(t *txn, how control.Ending, took time.Duration) {
	own := t.sent < o.stallTo
	if t.quit || how == control.CalledOff && t.left && t.call.Aim > 0 && took >= t.call.Aim {
		how = control.TimedOut // its client waited for as long as an answer has its full worth
	}
	if how == control.CalledOff || how == control.NotSent || own && how == control.TimedOut {
		return
	}
	m := t.service
	if m.main != nil {
		m = m.main
	}
	o.sides.Ended(Compared{Began: t.began, Service: m.id, Kind: t.Product, Effectful: t.call.Effectful, At: t.at, Ending: how,
		Took: took, Cold: own || t.service.balancer.Cold(o.now, t.at)})
}

// ready counts the backends of a service that may get something, of both versions.
func (h *service) ready() int {
	n := h.balancer.Ready()
	if h.under != nil && h.open != Shut {
		n += h.under.balancer.Ready()
	}
	return n
}

// use is how many requests a service has under way from this node, on average over spans of some seconds: the most that any of
// them had, of late.
type use struct {
	sum  time.Duration // that ended requests took, in this span
	from time.Duration
	most [2]float64 // in the present period and the one before
	nr   time.Duration
}

const (
	useSpan   = 10 * time.Second
	usePeriod = 30 * time.Minute
)

func (u *use) turn(now time.Duration) {
	if now-u.from < useSpan {
		return
	}
	if nr := now / usePeriod; nr != u.nr {
		u.most[1] = 0
		if nr == u.nr+1 {
			u.most[1] = u.most[0]
		}
		u.most[0], u.nr = 0, nr
	}
	u.most[0] = max(u.most[0], float64(u.sum)/float64(now-u.from))
	u.sum, u.from = 0, now
}

// Busy is how many requests a service had under way from this node at its busiest of late, of both versions; 0: not known.
func (o *Controller) Busy(service control.ServiceID) float64 {
	h := o.service(service)
	most := max(h.use.most[0], h.use.most[1])
	if h.under != nil {
		most += max(h.under.use.most[0], h.under.use.most[1])
	}
	return most
}
