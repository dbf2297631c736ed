package admission

import (
	"slices"
	"time"

	"clovergap/control"
)

// awaitUnits lets a request wait for units of its tenant's quota, until a time at the latest. Requests of a tenant get units in the order in which
// they began to wait.
func (c *Controller) awaitUnits(t *txn, until time.Duration) {
	t.awaitsUnits = true
	c.awaitingUnits = append(c.awaitingUnits, t)
	c.unitsAwaited[t.Customer] += t.Units
	c.setGiveUpTime(t, until)
}

// stopAwaitingUnits ends the wait of a request for units.
func (c *Controller) stopAwaitingUnits(t *txn) {
	t.awaitsUnits = false
	c.awaitingUnits = slices.DeleteFunc(c.awaitingUnits, func(other *txn) bool { return other == t })
	sameTenant := func(other *txn) bool { return other.Customer == t.Customer }
	if c.unitsAwaited[t.Customer] -= t.Units; !slices.ContainsFunc(c.awaitingUnits, sameTenant) {
		delete(c.unitsAwaited, t.Customer)
	}
}

// requeueAwaitingUnits moves the requests that wait for units to the front of the undecided requests.
func (c *Controller) requeueAwaitingUnits() {
	c.undecided = append(c.awaitingUnits, c.undecided...)
	for _, t := range c.awaitingUnits {
		t.awaitsUnits = false
	}
	c.awaitingUnits, c.unitsAwaited = nil, map[control.CustomerID]float64{}
}
