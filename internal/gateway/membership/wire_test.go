package membership

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a field that is added to Hello or Node but not to WireHello or WireNode, and so is not sent to other nodes.
func TestWireFormKeepsEveryField(t *testing.T) {
	h := Hello{Node: Node{Name: "node-0", Addr: "10.0.0.1:7110", ControlAddr: "10.0.0.1:7000", Zone: "zone", Disk: 21, FirstStart: true,
		Incarnation: 31, Bootstrapped: true, Leaving: true, ClusterID: 41},
		KnownAddrs: []string{"10.0.0.2:7110"}, ClusterExists: true, ChunkedCalls: true, Acknowledged: 51}
	for _, v := range []reflect.Value{reflect.ValueOf(h), reflect.ValueOf(h.Node), reflect.ValueOf(*h.Wire()), reflect.ValueOf(h.Wire().Door)} {
		for i := range v.NumField() {
			must.False(t, v.Field(i).IsZero(), must.Sprintf("the test does not set field %s.%s", v.Type(), v.Type().Field(i).Name))
		}
	}
	must.Eq(t, h, h.Wire().Hello())
}
