package config

import (
	"fmt"
	"sort"
	"strings"
)

const file = `{"name":"n1","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"ff00000000000001",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:82","peers":["127.0.0.1:1","127.0.0.1:2"],
 "known":{},"settings":{"balancers":2,"me":1,"dcs":["a","b c"],"report":{"how":"answers","fields":["tps","concurrent"]},
 "ceilings":{"peers":true,"connIdle":30000000,"dialTimeout":250000,"mostHeld":20},
 "requestClasses":[{"name":"r","effect":"idempotent"},{"name":"k","effect":"deduplicated"}],
 "extra":{"mostUnits":2},"plans":[{"name":"p","refill":0.5}]}}`

func Example() {
	c, err := Parse([]byte(file))
	fmt.Println(err, c.Seed, c.GatewayIndex, c.Peers, c.IdleTimeout, c.DialTimeout, c.Products, c.Plans, c.Zones, c.LoadFields)
	var all []string
	for name, value := range c.Settings {
		all = append(all, name+"="+value)
	}
	sort.Strings(all)
	fmt.Println(strings.Join(all, "\n"))
	fmt.Println("# the drill's lines go through the same tables")
	fmt.Println(ParseLines("requestClasses.0.effect=idempotent\nplans.0.refill=0.5\nrubbish"))
	// Output:
	// <nil> -72057594037927935 1 [127.0.0.1:1 127.0.0.1:2] 30s 250ms [{r false true} {k true false}] [p] [a b c] [tps concurrent]
	// gateways=2
	// limits.conn_idle=30000000
	// limits.dial_timeout=250000
	// limits.most_held=20
	// limits.peers=true
	// me=1
	// plans.0.name=p
	// plans.0.rate=0.5
	// plans.count=1
	// products.0.effect=inquiry-like
	// products.0.name=r
	// products.1.effect=referenced
	// products.1.name=k
	// products.count=2
	// quota.most_units=2
	// report.fields=per_s,inflight
	// report.how=answers
	// zones=a,b_c
	// # the drill's lines go through the same tables
	// map[plans.0.rate:0.5 products.0.effect:inquiry-like]
}

func Example_wrong() {
	for _, change := range [][2]string{{"ff00000000000001", "x"}, {"127.0.0.1:80", "nowhere"}, {`"memory_mb":192`, `"memory_mb":0`},
		{`"me":1`, `"me":"x"`}, {`30000000`, `0`}, {`"127.0.0.1:1",`, ``}, {`"127.0.0.1:2"`, `"b:2"`}, {`"sockets":1024`, `"sockets":"many"`},
		{`"p"`, `7`}, {"{", ""}} {
		_, err := Parse([]byte(strings.Replace(file, change[0], change[1], 1)))
		fmt.Println(err)
	}
	_, err := Load("")
	fmt.Println(err)
	// Output:
	// seed: not a hexadecimal number
	// listen: not an address with a port: "nowhere"
	// limits: memory_mb is 16 at the least, sockets 64
	// setting me: not a whole number
	// setting limits.conn_idle: not a time in microseconds
	// peers: 1 addresses for 2 front doors
	// peers: not an address with a port: "b:2"
	// json: cannot unmarshal string into Go struct field .Limits.Sockets of type int
	// settings: json: cannot unmarshal number into Go struct field .Plans.Name of type string
	// invalid character ':' after top-level value
	// no configuration: set NODE_CONFIG or --config
}
