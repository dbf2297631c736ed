package transport

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/failpoint"
)

// What a debug build plays of partitions and of machines that lose power (package failpoint). In a release build nothing of this happens: the
// failpoints answer false there.

// partitionPollInterval is how often a debug build looks whether a partition has healed.
const partitionPollInterval = 5 * time.Millisecond

// errPartitioned ends a dial into a partition.
var errPartitioned = errors.New("partitioned")

// dial dials; into a partition it hangs until its time-out, as it would without an answer.
func dial(ctx context.Context, dialer *net.Dialer, to string) (net.Conn, error) {
	if failpoint.Partitioned(to) && !awaitHeal(ctx, to, dialTimeout) {
		return nil, errPartitioned
	}
	return dialer.DialContext(ctx, "tcp", to)
}

// awaitHeal waits while a test has this node partitioned from another; false if that takes longer than timeout. What is sent into a
// partition goes out when it heals, as TCP's segments do, and a link over which nothing got through for writeTimeout ends.
func awaitHeal(ctx context.Context, to string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); failpoint.Partitioned(to); time.Sleep(partitionPollInterval) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// hidePowerLoss holds back the end of a connection to a machine that lost power: nothing tells this side of it, until this side closes
// the connection itself.
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
