package loopback

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against two runs on one machine that use the same addresses because their process IDs lead to the same network. The second run must get
// another network until the first one releases it.
func TestRunsWithSameCandidateGetDifferentNetworks(t *testing.T) {
	const candidate = 4711
	first, err := reserveFrom(candidate)
	must.NoError(t, err)
	second, err := reserveFrom(candidate)
	must.NoError(t, err)
	must.NotEq(t, first.Prefix(), second.Prefix())
	must.NoError(t, first.Release())
	third, err := reserveFrom(candidate)
	must.NoError(t, err)
	must.Eq(t, first.Prefix(), third.Prefix())
	must.NoError(t, second.Release())
	must.NoError(t, third.Release())
}

// Guards against addresses that nobody can listen on and against prefixes of different lengths.
func TestPrefixesAreUsable(t *testing.T) {
	seen := map[string]bool{}
	for number := range uint32(networkCount) {
		prefix := prefixOf(number)
		must.EqOp(t, len("127.100.100."), len(prefix))
		must.False(t, seen[prefix])
		seen[prefix] = true
	}
	network, err := Reserve()
	must.NoError(t, err)
	for _, host := range []int{1, maxHost} {
		l, err := net.Listen("tcp4", network.Host(host)+":0")
		must.NoError(t, err)
		must.NoError(t, l.Close())
	}
	must.NoError(t, network.Release())
}
