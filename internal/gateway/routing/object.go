package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// object is a JSON object whose values stay as they were written: unknown fields, the order of fields and
// the form of numbers go through a change unharmed.
type object []objectField

// objectField is a field of an object.
type objectField struct {
	name  string
	value json.RawMessage
}

func readObject(raw []byte) (object, error) {
	if i := skipSpace(raw, 0); i == len(raw) || raw[i] != '{' {
		return nil, errors.New("not an object")
	}
	var o object
	forEachValue(raw, 0, func(name string, from, to int) { o = append(o, objectField{name, raw[from:to:to]}) })
	return o, nil
}

// fieldIndex finds a field as encoding/json would, so that what is read and what is kept never differ.
func (o object) fieldIndex(name string) int {
	return slices.IndexFunc(o, func(e objectField) bool { return strings.EqualFold(e.name, name) })
}

func (o object) get(name string) json.RawMessage {
	if i := o.fieldIndex(name); i >= 0 {
		return o[i].value
	}
	return nil
}

func (o *object) set(name string, value json.RawMessage) {
	if i := o.fieldIndex(name); i >= 0 {
		(*o)[i].value = value
		return
	}
	*o = append(*o, objectField{name, value})
}

func (o object) encode() json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, e := range o {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(e.name) // a string always has a form in JSON
		out.Write(name)
		out.WriteByte(':')
		out.Write(e.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// namedItem is one of a list, as it is written, and the name that it goes by.
type namedItem struct {
	name string
	raw  json.RawMessage
}

// readItems reads a list of named items; what is no list, or is left out, holds none.
func readItems(raw json.RawMessage, key string) []namedItem {
	if i := skipSpace(raw, 0); i == len(raw) || raw[i] != '[' {
		return nil
	}
	var items []namedItem
	forEachValue(raw, 0, func(_ string, from, to int) {
		it := namedItem{raw: raw[from:to:to]}
		forEachValue(raw, from, func(name string, from, to int) {
			if strings.EqualFold(name, key) {
				it.name = unquote(raw[from:to])
			}
		})
		if key == fieldHostname {
			it.name = strings.ToLower(it.name)
		}
		items = append(items, it)
	})
	return items
}

func encodeItems(items []namedItem) json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('[')
	for i, it := range items {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(it.raw)
	}
	out.WriteByte(']')
	return out.Bytes()
}

// putItem adds an item, or replaces the first of its name and drops the others.
func putItem(items []namedItem, it namedItem) []namedItem {
	hasSameName := func(o namedItem) bool { return o.name == it.name }
	i := slices.IndexFunc(items, hasSameName)
	if i < 0 {
		return append(items, it)
	}
	items[i] = it
	return append(items[:i+1], slices.DeleteFunc(items[i+1:], hasSameName)...)
}

// removeItems takes the items with these names out.
func removeItems(items []namedItem, names []string) []namedItem {
	return slices.DeleteFunc(items, func(it namedItem) bool { return slices.Contains(names, it.name) })
}
