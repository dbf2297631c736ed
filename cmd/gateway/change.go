package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

type applyCmd struct {
	changeArgs
}

type amendCmd struct {
	changeArgs
}

// changeArgs are alike for both ways to change the configuration.
type changeArgs struct {
	File   string  `arg:"positional,required" help:"JSON; - is standard input"`
	Parent *uint64 `arg:"--parent" placeholder:"N" help:"build on this version, whatever parent_version says"`
	caller
}

func (a *applyCmd) run(out io.Writer) error { return a.change(out, "/api/Config.Replace") }
func (a *amendCmd) run(out io.Writer) error { return a.change(out, "/api/Config.Amend") }

func (*applyCmd) examples() string {
	return `  gateway apply config.json                   put it in force, on top of its parent_version
  gateway apply --parent 7 config.json        the same, on top of version 7
  gateway read --json | jq '.parent_version=.generation|.generation+=1' | gateway apply -`
}

func (*amendCmd) examples() string {
	return `  gateway amend --parent 7 change.json
  echo '{"generation":8,"removals":{"routes":["r-old"]}}' | gateway amend --parent 7 -`
}

// change submits a change until its outcome is known.
func (c *changeArgs) change(out io.Writer, path string) error {
	if _, err := c.nodes(); err != nil {
		return err
	}
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	if c.Parent != nil {
		if body, err = withParent(body, *c.Parent); err != nil {
			return errors.Wrap(err, c.File)
		}
	}
	a, err := c.call(path, body)
	if err != nil {
		return err
	}
	var accepted struct {
		Generation uint64 `json:"generation"`
	}
	_ = json.Unmarshal(body, &accepted) // it was accepted: the node could read it
	if c.JSON {
		summary := map[string]any{"generation": accepted.Generation, "node": a.node, "tries": a.attempts}
		return json.NewEncoder(out).Encode(summary)
	}
	_, err = fmt.Fprintf(out, "version %d accepted (%s, attempts %d)\n", accepted.Generation, a.node, a.attempts)
	return err
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		body, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, errors.Wrap(err, "standard input")
		}
		return body, nil
	}
	return os.ReadFile(name)
}

// withParent sets parent_version in an object and leaves all other bytes as they are: the same file and version
// always give the same bytes.
func withParent(body []byte, parent uint64) ([]byte, error) {
	const field = "parent_version"
	if !json.Valid(body) {
		return nil, errors.New("not JSON")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.New("not a JSON object")
	}
	begin, number := d.InputOffset(), strconv.FormatUint(parent, 10)
	empty := !d.More()
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, err
		}
		if text, _ := name.(string); strings.EqualFold(text, field) { // as a node reads it
			end := d.InputOffset()
			return splice(body, end-int64(len(value)), end, number), nil
		}
	}
	set := `"` + field + `":` + number
	if !empty {
		set += ","
	}
	return splice(body, begin, begin, set), nil
}

func splice(body []byte, from, to int64, text string) []byte {
	return append(append(bytes.Clone(body[:from]), text...), body[to:]...)
}
