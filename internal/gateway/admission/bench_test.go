package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/routing"
)

// BenchmarkRoutedRequest measures the decisions for one request: looking up its route and tenant, admitting it with units of its tenant's quota,
// choosing its backend and recording its answer. It does not measure HTTP, the event loop and the lookup of the route's product ID in package node.
func BenchmarkRoutedRequest(b *testing.B) {
	const hosts, backends = 20, 12
	config := &routing.Config{Generation: 1}
	for i := range hosts {
		vhost := routing.ConfigHost{Hostname: fmt.Sprintf("host%d.example", i)}
		for _, prefix := range []string{"/", "/api", "/api/orders", "/static"} {
			vhost.PathList = append(vhost.PathList, routing.ConfigRoute{Name: vhost.Hostname + prefix, PathPrefix: prefix, Variant: routing.Pure, Target: "s"})
		}
		config.Vhosts = append(config.Vhosts, vhost)
	}
	config.Services = append(config.Services, routing.ConfigService{Name: "s"})
	config.Tenants = append(config.Tenants, routing.ConfigTenant{Name: "t", ApiKeys: []string{"key"}, RatePerS: 1e9, Burst: 1e9})
	table := routing.NewTable(config)

	quota := quota.NewLimiter(1, 0, 1, 0, quota.Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second, DatagramsPerSecond: 100, InitialFill: 1})
	quota.SetLimit(1, 1e9, 1e9)
	controller := New(1, Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: 2}, quota, 0)
	controller.SetRoute(1, Route{LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2, Targets: []Target{{1, 1}}})
	for i := range backends {
		controller.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(i + 1), State: control.Ready, Capacity: 4, Service: 1}})
	}
	now, id := time.Second, control.TxnID(0)
	host, path, key := []byte("Host7.example:8080"), []byte("/api/orders/17?full=1"), []byte("key")
	served := 0
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		id++
		route, found := table.Route(host, path)
		tenant, known := table.Tenant(key)
		if !found || !known {
			b.Fatal("the routing table has no route for the request or no tenant for its API key")
		}
		controller.Now(now)
		controller.TxnArrived(control.Txn{ID: id, Customer: 1, Product: 1, Plan: control.PlanID(tenant.Priority), Units: 1, Expiry: now + route.Deadline})
		for decision, ok := controller.Next(); ok; decision, ok = controller.Next() {
			if decision.Action == control.Submit {
				controller.SubmissionEnded(decision.Txn, 0, decision.Backend, control.Succeeded, true, 20*time.Millisecond, nil)
				served++
			}
		}
	}
	must.Positive(b, served)
}
