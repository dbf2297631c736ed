package loadbalancer

// quotaQueue summarizes the txns of one customer that wait for units, for a snapshot or for the end of another submission of the customer. A txn that
// arrives later comes after them.
type quotaQueue struct {
	txns  int
	units float64
}

// awaitQuota counts a txn that begins to wait for its customer's quota.
func (c *Controller) awaitQuota(t *txn) {
	if t.awaitsQuota {
		return
	}
	t.awaitsQuota = true
	queue := c.quotaQueues[t.Customer]
	c.quotaQueues[t.Customer] = quotaQueue{queue.txns + 1, queue.units + t.Units}
}

// stopAwaitingQuota ends the wait of a txn for its customer's quota. It does nothing if the txn does not wait for it.
func (c *Controller) stopAwaitingQuota(t *txn) {
	if !t.awaitsQuota {
		return
	}
	t.awaitsQuota = false
	queue := c.quotaQueues[t.Customer]
	if queue.txns <= 1 {
		delete(c.quotaQueues, t.Customer)
		return
	}
	c.quotaQueues[t.Customer] = quotaQueue{queue.txns - 1, queue.units - t.Units}
}
