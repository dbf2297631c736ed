package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Names of fields in the JSON of a configuration. They are compared without regard to case.
const (
	fieldHosts    = "vhosts"
	fieldHostname = "hostname"
	fieldRoutes   = "path_list"
	fieldName     = "name"
)

// mergeChange returns the complete configuration that results from applying a change to base, in the form of the body of a Replace.
// Both arguments must be valid JSON; a nil base is an empty configuration. Removals are applied before upserts, so that one change can
// move a route to another host.
//
// Lists of named items in unknown fields are merged by name as well. A field of upserts that is not a list replaces the field of the
// same name. Besides removals and upserts, the change only sets generation and parent_version of the result.
func mergeChange(base, change []byte) ([]byte, error) {
	config := object{}
	if base != nil {
		var err error
		if config, err = readObject(base); err != nil {
			return nil, err
		}
	}
	call, err := readObject(change)
	if err != nil {
		return nil, err
	}
	removals, _ := readObject(call.get("removals")) // a null or omitted field has no entries
	upserts, _ := readObject(call.get("upserts"))
	emptied := map[string]bool{}
	for _, field := range removals {
		applyRemoval(&config, field, emptied)
	}
	for _, field := range upserts {
		applyUpsert(&config, field)
	}
	removeEmptiedHosts(&config, emptied)
	config.set("generation", call.get("generation"))
	parent := call.get("parent_version")
	if parent == nil {
		parent = json.RawMessage("0")
	}
	config.set("parent_version", parent)
	return config.encode(), nil
}

// applyRemoval removes the items that one field of removals names. It adds the hosts that lose their last route to emptied.
func applyRemoval(config *object, removal objectField, emptied map[string]bool) {
	var names []string
	if json.Unmarshal(removal.value, &names) != nil || len(names) == 0 {
		return
	}
	switch strings.ToLower(removal.name) {
	case "routes":
		if hosts := config.get(fieldHosts); hosts != nil {
			config.set(fieldHosts, removeRoutes(hosts, names, emptied))
		}
	case fieldHosts:
		for i := range names {
			names[i] = strings.ToLower(names[i])
		}
		if hosts := config.get(fieldHosts); hosts != nil {
			config.set(fieldHosts, encodeItems(removeItems(readItems(hosts, fieldHostname), names)))
		}
	default:
		if list := bytes.TrimSpace(config.get(removal.name)); len(list) > 0 && list[0] == '[' {
			config.set(removal.name, encodeItems(removeItems(readItems(list, fieldName), names)))
		}
	}
}

// applyUpsert applies one field of upserts to the configuration. A null value changes nothing. The items of a list are added or replaced
// by name, and the routes of a host as well. Any other value replaces the field of the configuration.
func applyUpsert(config *object, upsert objectField) {
	value := bytes.TrimSpace(upsert.value)
	switch {
	case bytes.Equal(value, []byte("null")):
	case strings.EqualFold(upsert.name, fieldHosts):
		hosts := readItems(config.get(fieldHosts), fieldHostname)
		for _, host := range readItems(value, fieldHostname) {
			hosts = putHostRoutes(hosts, host)
		}
		config.set(fieldHosts, encodeItems(hosts))
	case value[0] == '[':
		items := readItems(config.get(upsert.name), fieldName)
		for _, it := range readItems(value, fieldName) {
			items = putItem(items, it)
		}
		config.set(upsert.name, encodeItems(items))
	default:
		config.set(upsert.name, value)
	}
}

// removeEmptiedHosts removes the hosts that lost all routes by removals, unless upserts added routes to them. Requests to a host without
// routes get the same answer as requests to an unknown host. Without this cleanup, such hosts would accumulate in the configuration.
func removeEmptiedHosts(config *object, emptied map[string]bool) {
	if len(emptied) == 0 {
		return
	}
	hosts := readItems(config.get(fieldHosts), fieldHostname)
	hosts = slices.DeleteFunc(hosts, func(h namedItem) bool { return emptied[h.name] && !hasRoutes(h.raw) })
	config.set(fieldHosts, encodeItems(hosts))
}

// removeRoutes removes the named routes from all hosts. It adds the hosts that lose their last route to emptied.
func removeRoutes(raw json.RawMessage, names []string, emptied map[string]bool) json.RawMessage {
	hosts := readItems(raw, fieldHostname)
	for i := range hosts {
		host, err := readObject(hosts[i].raw)
		if err != nil {
			continue
		}
		routes := readItems(host.get(fieldRoutes), fieldName)
		before := len(routes)
		if routes = removeItems(routes, names); len(routes) == before {
			continue
		}
		host.set(fieldRoutes, encodeItems(routes))
		hosts[i].raw = host.encode()
		if len(routes) == 0 {
			emptied[hosts[i].name] = true
		}
	}
	return encodeItems(hosts)
}

// hasRoutes reports whether a host has at least one route. It returns false for a host that is not a JSON object.
func hasRoutes(host json.RawMessage) bool {
	fields, err := readObject(host)
	return err == nil && len(readItems(fields.get(fieldRoutes), fieldName)) > 0
}

// putHostRoutes adds the given host to hosts. If hosts has no host of this name, the given host is appended. If hosts has a host of this
// name, the routes of the given host are added or replaced by name, and the other fields of the given host overwrite the existing fields.
// If one of the two hosts is not a JSON object, the given host replaces the existing host.
func putHostRoutes(hosts []namedItem, host namedItem) []namedItem {
	i := slices.IndexFunc(hosts, func(o namedItem) bool { return o.name == host.name })
	if i < 0 {
		return append(hosts, host)
	}
	current, err1 := readObject(hosts[i].raw)
	added, err2 := readObject(host.raw)
	if err1 != nil || err2 != nil {
		hosts[i] = host
		return hosts
	}
	for _, e := range added {
		if !strings.EqualFold(e.name, fieldRoutes) {
			current.set(e.name, e.value)
			continue
		}
		routes := readItems(current.get(e.name), fieldName)
		for _, r := range readItems(e.value, fieldName) {
			routes = putItem(routes, r)
		}
		current.set(e.name, encodeItems(routes))
	}
	hosts[i].raw = current.encode()
	return hosts
}
