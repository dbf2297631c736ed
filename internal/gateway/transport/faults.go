package transport

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/failpoint"
)

// A debug build simulates network partitions and power losses of machines in this file (see package failpoint). A release build
// simulates none, because there the failpoints always return false.

// partitionPollInterval is the interval at which a debug build checks whether a partition has healed.
const partitionPollInterval = 5 * time.Millisecond

// errPartitioned is the error of a dial that a simulated partition blocks until its time-out or its cancellation.
var errPartitioned = errors.New("simulated network partition blocks the dial")

// dial opens a TCP connection to a node. In a simulated partition it blocks until the partition heals or dialTimeout has
// passed, like a dial that gets no answer.
func dial(ctx context.Context, dialer *net.Dialer, to string) (net.Conn, error) {
	if failpoint.Partitioned(to) && !awaitHeal(ctx, to, dialTimeout) {
		return nil, errPartitioned
	}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	return withRetransmissions(conn, to), nil
}

// awaitHeal blocks while a test has partitioned this node from another one. It returns false if the partition lasts longer than
// timeout or ctx is cancelled. A write that the partition blocks is sent when the partition ends, as TCP would retransmit its
// segments. A link that makes no progress for writeTimeout ends.
func awaitHeal(ctx context.Context, to string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); failpoint.Partitioned(to); time.Sleep(partitionPollInterval) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// hidePowerLoss delays the end of a connection to a machine that lost power in a simulation. In reality nothing informs this
// side of a power loss, so hidePowerLoss returns only when this side closes the connection.
func hidePowerLoss(conn net.Conn, to string) {
	if !failpoint.PoweredOff(to) {
		return
	}
	for b := make([]byte, 1); ; time.Sleep(partitionPollInterval) {
		if _, err := conn.Read(b); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}
