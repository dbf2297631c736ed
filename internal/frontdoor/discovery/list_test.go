package discovery

import (
	"fmt"
	"testing"
	"time"
)

func clock(at time.Time) time.Duration { return time.Duration(at.UnixMilli()) * time.Millisecond }

func Example() {
	for _, text := range []string{
		`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8443","az":"b","model":"m","pod_group":3,
		 "state":"Ready","capacity_hint":1.5,"boot_ms":7000}]}`,
		`{"rev":42,"all":false,"targets":[{"uid":"s-1","endpoint":"","az":"elsewhere","state":"Gone"}]}`,
		`{"rev":43,"all":false,"targets":[]}`, `{"all":true,"targets":[]}`, `{"rev":1,"targets":[{"uid":"","state":"Ready"}]}`,
		`{"rev":1,"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"Odd"}]}`,
		`{"rev":1,"targets":[{"uid":"a","endpoint":"here","state":"Ready"}]}`, `{"rev":`} {
		l, err := Parse([]byte(text), []string{"a", "b"}, clock)
		fmt.Println(l.Rev, l.Complete, err)
		for _, e := range l.Entries {
			fmt.Printf("  %x zone %d pod %d state %d size %g started %v at %q\n", e.ID, e.Zone, e.Pod, e.State, e.Capacity,
				e.Started, e.Addr)
		}
	}
	// Output:
	// 41 true <nil>
	//   817cda195c3fbf24 zone 1 pod 3 state 1 size 1.5 started 7s at "10.1.0.18:8443"
	// 42 false <nil>
	//   817cda195c3fbf24 zone -1 pod 0 state 0 size 0 started 0s at ""
	// 43 false <nil>
	// 0 false no rev
	// 0 false target "" in state "Ready"
	// 0 false target "a" in state "Odd"
	// 0 false target "a" at "here"
	// 0 false unexpected end of JSON input
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8443","state":"Ready"}]}`))
	f.Fuzz(func(_ *testing.T, text []byte) { Parse(text, []string{"a"}, clock) })
}
