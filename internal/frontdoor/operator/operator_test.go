package operator

import (
	"fmt"
	"os"
	"testing"
)

func Example() {
	for _, text := range []string{"", "[log]\nlevel = \"loud\"\n", "[log]\n\nlevle = \"info\"\n", "[log.sampling]\nfirst = 10\nevery = \"soon\"\n",
		"[log]\nformat = 3\n", "[log]\nformat = \"console\"\n[log.sampling]\nfirst = 5\nthen = 100\nevery = \"2s\"\n", "[log\n", "[zones]\n"} {
		f, err := Parse("operator.toml", []byte(text))
		fmt.Println(f.Log.Level, f.Log.Format, f.Log.Sampling.First, f.Log.Sampling.Span(), err)
	}
	// Output:
	// info json 0 1s <nil>
	// info json 0 1s operator.toml:2: log.level: must be debug, info, warn or error, not "loud"
	// info json 0 1s operator.toml:3: unknown key log.levle
	// info json 0 1s operator.toml:3: log.sampling.every: must be a span over nought, such as 1s, not "soon"
	// info json 0 1s operator.toml:2: log.format: integer where string is wanted
	// info console 5 2s <nil>
	// info json 0 1s operator.toml:1: expected ']' to close table name
	// info json 0 1s operator.toml:1: unknown key zones
}

// The file in deploy, and the example that the program prints, change nothing.
func TestOffByDefault(t *testing.T) {
	example, err := Text(Default())
	if err != nil {
		t.Fatal(err)
	}
	kept, err := os.ReadFile("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{example, string(kept)} {
		if f, err := Parse("x", []byte(text)); err != nil || fmt.Sprint(f) != fmt.Sprint(Default()) {
			t.Errorf("%+v %v", f, err)
		}
	}
}
