package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// object is a JSON object that keeps its values as they were written. Changes to an object preserve unknown fields, the order of
// fields and the notation of numbers.
type object []objectField

// objectField is a field of an object.
type objectField struct {
	name  string
	value json.RawMessage
}

// readObject splits valid JSON into the fields of an object. It returns an error if the JSON is not an object.
func readObject(raw []byte) (object, error) {
	if i := skipSpace(raw, 0); i == len(raw) || raw[i] != '{' {
		return nil, errors.New("JSON value is not an object")
	}
	var o object
	forEachValue(raw, 0, func(name string, from, to int) { o = append(o, objectField{name, raw[from:to:to]}) })
	return o, nil
}

// fieldIndex returns the index of a field, -1 if there is none. It ignores case, as encoding/json does when the
// configuration is parsed. A comparison with case could make the stored JSON differ from the parsed configuration.
func (o object) fieldIndex(name string) int {
	return slices.IndexFunc(o, func(e objectField) bool { return strings.EqualFold(e.name, name) })
}

// get returns the value of a field, nil if there is none.
func (o object) get(name string) json.RawMessage {
	if i := o.fieldIndex(name); i >= 0 {
		return o[i].value
	}
	return nil
}

// set replaces the value of a field, or appends the field.
func (o *object) set(name string, value json.RawMessage) {
	if i := o.fieldIndex(name); i >= 0 {
		(*o)[i].value = value
		return
	}
	*o = append(*o, objectField{name, value})
}

// encode returns the object as JSON.
func (o object) encode() json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, e := range o {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(e.name) // encoding a string never fails
		out.Write(name)
		out.WriteByte(':')
		out.Write(e.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// namedItem is an element of a list, with its JSON and the value of its name field. The name is empty if the field is missing.
type namedItem struct {
	name string
	raw  json.RawMessage
}

// readItems returns the items of a list. The name of an item is the value of the field key. Host names are converted to lower case.
// It returns no items if the JSON is empty or not a list.
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

// encodeItems returns the items as a JSON list.
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

// putItem appends an item. If items with the same name exist, it replaces the first of them and removes the others.
func putItem(items []namedItem, it namedItem) []namedItem {
	hasSameName := func(o namedItem) bool { return o.name == it.name }
	i := slices.IndexFunc(items, hasSameName)
	if i < 0 {
		return append(items, it)
	}
	items[i] = it
	return append(items[:i+1], slices.DeleteFunc(items[i+1:], hasSameName)...)
}

// removeItems removes the items with the given names.
func removeItems(items []namedItem, names []string) []namedItem {
	return slices.DeleteFunc(items, func(it namedItem) bool { return slices.Contains(names, it.name) })
}
