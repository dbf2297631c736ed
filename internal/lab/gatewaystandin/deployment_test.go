package gatewaystandin

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against two deployments whose nodes have the same addresses. The ports of a deployment are free until its nodes start, so that only the
// reservation of the network keeps another deployment from them.
func TestDeploymentsDoNotShareAddresses(t *testing.T) {
	lay := func() *Deployment {
		d, err := New(Config{Nodes: 3, Disks: 3, Zones: []string{"a"}})
		must.NoError(t, err)
		return d
	}
	first, second := lay(), lay()
	defer first.Close()
	defer second.Close()
	for i := range first.Nodes {
		must.NotEq(t, first.Nodes[i].Host, second.Nodes[i].Host)
	}
}
