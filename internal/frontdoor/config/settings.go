package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"clovergap/control"
)

// settingNames maps the protocol's setting names, part by part, to ours.
var settingNames = map[string]string{"requestClasses": "products", "objective": "sla_time", "giveUp": "expiry",
	"dedupScope": "repeat_scope", "window": "repeat_window", "worth": "value", "lateWorth": "late_value",
	"refill": "rate", "peakUnits": "burst", "hardBurst": "ceiling_burst", "ceilingRate": "ceiling_rate",
	"ceilingSlack": "ceiling_slack", "atOnce": "open_cap", "excessCost": "over_cost",
	"beyondEarns": "over_value", "valueFactor": "price", "balancers": "gateways", "dcs": "zones",
	"extra": "quota", "mailPerS": "mail_per_s", "mostUnits": "most_units",
	"ceilings": "limits", "maxAttempts": "max_submissions", "mayProbe": "probes", "retryAfter": "advice",
	"maxRetryAfter": "longest_advice", "cold": "warm_by", "coldFrom": "cold_from", "fall": "fall_window",
	"fallMultiple": "fall_multiple", "fields": "fields", "crossZone": "cross_zone",
	"connIdle": "conn_idle", "dialTimeout": "dial_timeout", "mostHeld": "most_held"}

// settingValues maps the protocol's setting values to ours.
var settingValues = map[string]string{"idempotent": "inquiry-like", "deduplicated": "referenced",
	"at_most_once": "once-only", "concurrent": "inflight", "depth": "queue", "mean_ms": "service_ms",
	"tps": "per_s", "cell": "pod"}

func translateParts(words, sep string, table map[string]string) string {
	parts := strings.Split(words, sep)
	for i, p := range parts {
		if ours, ok := table[p]; ok {
			parts[i] = ours
		}
	}
	return strings.Join(parts, sep)
}

// Translate puts the protocol's setting into our words; both hosts of the module go through it.
func Translate(s control.Settings, name, value string) {
	s[translateParts(name, ".", settingNames)] = translateParts(strings.TrimSpace(value), ",", settingValues)
}

// ParseLines reads settings of one name=value a line.
func ParseLines(text string) control.Settings {
	s := control.Settings{}
	for _, line := range strings.Split(text, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok {
			Translate(s, name, value)
		}
	}
	return s
}

// ParseJSON reads settings from a JSON object: a list of plain values is joined by commas, a list of objects
// gives its length under count and its items under their numbers.
func ParseJSON(text []byte) (control.Settings, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, err
	}
	s := control.Settings{}
	flatten(s, "", all)
	return s, nil
}

func flatten(s control.Settings, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			flatten(s, strings.TrimPrefix(at+"."+k, "."), v[k])
		}
	case []any:
		var plain []string
		for i, x := range v {
			if _, nested := x.(map[string]any); nested {
				flatten(s, at+"."+strconv.Itoa(i), x)
			} else {
				plain = append(plain, formatValue(x))
			}
		}
		if len(plain) < len(v) {
			Translate(s, at+".count", strconv.Itoa(len(v)))
		} else {
			Translate(s, at, strings.Join(plain, ","))
		}
	default:
		Translate(s, at, formatValue(v))
	}
}

// formatValue is a plain value; what splits lists and parts in it becomes an underline, as on the drill's wire.
func formatValue(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}
