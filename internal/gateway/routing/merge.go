package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// A sheet is a JSON object whose values stay as they were written: unknown fields, the order of fields and
// the form of numbers go through a change unharmed.
type object []entry

type entry struct {
	name  string
	value json.RawMessage
}

func readObject(raw []byte) (object, error) {
	if i := skipSpace(raw, 0); i == len(raw) || raw[i] != '{' {
		return nil, errors.New("not an object")
	}
	var s object
	forEachValue(raw, 0, func(name string, from, to int) { s = append(s, entry{name, raw[from:to:to]}) })
	return s, nil
}

// index finds a field as encoding/json would, so that what is read and what is kept never differ.
func (o object) index(name string) int {
	return slices.IndexFunc(o, func(e entry) bool { return strings.EqualFold(e.name, name) })
}

func (o object) get(name string) json.RawMessage {
	if i := o.index(name); i >= 0 {
		return o[i].value
	}
	return nil
}

func (o *object) set(name string, value json.RawMessage) {
	if i := o.index(name); i >= 0 {
		(*o)[i].value = value
		return
	}
	*o = append(*o, entry{name, value})
}

func (o object) bytes() json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, e := range o {
		if i > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(e.name) // a string always has a form
		out.Write(name)
		out.WriteByte(':')
		out.Write(e.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// An item of a list, as it is written, and the name that it goes by.
type item struct {
	name string
	raw  json.RawMessage
}

// readItems reads a list of named items; what is no list, or is left out, holds none.
func readItems(raw json.RawMessage, key string) []item {
	if i := skipSpace(raw, 0); i == len(raw) || raw[i] != '[' {
		return nil
	}
	var items []item
	forEachValue(raw, 0, func(_ string, from, to int) {
		it := item{raw: raw[from:to:to]}
		forEachValue(raw, from, func(name string, from, to int) {
			if strings.EqualFold(name, key) {
				it.name = unquote(raw[from:to])
			}
		})
		if key == "hostname" {
			it.name = strings.ToLower(it.name)
		}
		items = append(items, it)
	})
	return items
}

func writeItems(items []item) json.RawMessage {
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

// put adds it, or replaces the first of its name and drops the others.
func put(items []item, it item) []item {
	named := func(o item) bool { return o.name == it.name }
	i := slices.IndexFunc(items, named)
	if i < 0 {
		return append(items, it)
	}
	items[i] = it
	return append(items[:i+1], slices.DeleteFunc(items[i+1:], named)...)
}

func drop(items []item, names []string) []item {
	return slices.DeleteFunc(items, func(it item) bool { return slices.Contains(names, it.name) })
}

// merge gives the whole configuration that results from a change upon base, laid out as it is put. Both
// have been read before. Removals come first, so that one change can move a route to another host.
//
// Lists of items that this program does not know are changed by name as well; what upserts holds that is no
// list replaces the field of its name. Other fields beside upserts and removals are the call's own and are
// not taken over.
func merge(base, change []byte) ([]byte, error) {
	whole := object{}
	if base != nil {
		var err error
		if whole, err = readObject(base); err != nil {
			return nil, err
		}
	}
	call, err := readObject(change)
	if err != nil {
		return nil, err
	}
	removals, _ := readObject(call.get("removals")) // null or left out: none
	upserts, _ := readObject(call.get("upserts"))
	emptied := map[string]bool{}
	for _, e := range removals {
		var names []string
		if json.Unmarshal(e.value, &names) != nil || len(names) == 0 {
			continue
		}
		switch strings.ToLower(e.name) {
		case "routes":
			if hosts := whole.get("vhosts"); hosts != nil {
				whole.set("vhosts", dropRoutes(hosts, names, emptied))
			}
		case "vhosts":
			for i := range names {
				names[i] = strings.ToLower(names[i])
			}
			if hosts := whole.get("vhosts"); hosts != nil {
				whole.set("vhosts", writeItems(drop(readItems(hosts, "hostname"), names)))
			}
		default:
			if list := bytes.TrimSpace(whole.get(e.name)); len(list) > 0 && list[0] == '[' {
				whole.set(e.name, writeItems(drop(readItems(list, "name"), names)))
			}
		}
	}
	for _, e := range upserts {
		value := bytes.TrimSpace(e.value)
		switch {
		case bytes.Equal(value, []byte("null")):
		case strings.EqualFold(e.name, "vhosts"):
			hosts := readItems(whole.get("vhosts"), "hostname")
			for _, it := range readItems(value, "hostname") {
				hosts = putHost(hosts, it)
			}
			whole.set("vhosts", writeItems(hosts))
		case value[0] == '[':
			items := readItems(whole.get(e.name), "name")
			for _, it := range readItems(value, "name") {
				items = put(items, it)
			}
			whole.set(e.name, writeItems(items))
		default:
			whole.set(e.name, value)
		}
	}
	if len(emptied) > 0 {
		hosts := readItems(whole.get("vhosts"), "hostname")
		hosts = slices.DeleteFunc(hosts, func(h item) bool { return emptied[h.name] && !hasRoutes(h.raw) })
		whole.set("vhosts", writeItems(hosts))
	}
	whole.set("generation", call.get("generation"))
	parent := call.get("parent_version")
	if parent == nil {
		parent = json.RawMessage("0")
	}
	whole.set("parent_version", parent)
	return whole.bytes(), nil
}

// dropRoutes takes the named routes out of all hosts and notes the hosts that it left without any. Those go
// in the end: a host without routes answers as one that is not there, and hosts that come and go would pile
// up.
func dropRoutes(raw json.RawMessage, names []string, emptied map[string]bool) json.RawMessage {
	hosts := readItems(raw, "hostname")
	for i := range hosts {
		host, err := readObject(hosts[i].raw)
		if err != nil {
			continue
		}
		routes := readItems(host.get("path_list"), "name")
		before := len(routes)
		if routes = drop(routes, names); len(routes) == before {
			continue
		}
		host.set("path_list", writeItems(routes))
		hosts[i].raw = host.bytes()
		if len(routes) == 0 {
			emptied[hosts[i].name] = true
		}
	}
	return writeItems(hosts)
}

func hasRoutes(host json.RawMessage) bool {
	s, err := readObject(host)
	return err == nil && len(readItems(s.get("path_list"), "name")) > 0
}

// putHost adds a host, or puts its routes among those of the host that is there.
func putHost(hosts []item, it item) []item {
	i := slices.IndexFunc(hosts, func(o item) bool { return o.name == it.name })
	if i < 0 {
		return append(hosts, it)
	}
	was, err1 := readObject(hosts[i].raw)
	now, err2 := readObject(it.raw)
	if err1 != nil || err2 != nil {
		hosts[i] = it
		return hosts
	}
	for _, e := range now {
		if !strings.EqualFold(e.name, "path_list") {
			was.set(e.name, e.value)
			continue
		}
		routes := readItems(was.get(e.name), "name")
		for _, r := range readItems(e.value, "name") {
			routes = put(routes, r)
		}
		was.set(e.name, writeItems(routes))
	}
	hosts[i].raw = was.bytes()
	return hosts
}
