package main

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/routing"
)

// visibleKeyChars is how much of a tenant's key is printed.
const visibleKeyChars = 4

// config reads the newest configuration; raw is the body as it came.
func (c *caller) config() (b *routing.Config, raw []byte, err error) {
	a, err := c.call("/api/Config.Read", nil)
	if err != nil {
		return nil, nil, err
	}
	if len(bytes.TrimSpace(a.body)) == 0 {
		return nil, nil, errors.New("no configuration is in force yet")
	}
	b = new(routing.Config)
	if err := json.Unmarshal(a.body, b); err != nil {
		return nil, nil, a.malformedError(err)
	}
	return b, a.body, nil
}

type readCmd struct{ caller }

func (*readCmd) examples() string {
	return `  gateway read                     the newest configuration, in numbers
  gateway read --json > now.json   all of it, to be edited and applied; it has the keys`
}

func (r *readCmd) run(out io.Writer) error {
	b, raw, err := r.config()
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, raw)
	}
	t := routing.NewTable(b)
	l := t.Limits()
	w := newTable(out, "VERSION", "PARENT", "HOSTS", "ROUTES", "SERVICES", "TENANTS", "MAX HEADER", "MAX BODY",
		"HEADER TIMEOUT", "IDLE TIMEOUT")
	w.row(b.Generation, b.ParentVersion, len(b.Vhosts), len(t.Routes()), len(b.Services), len(b.Tenants),
		l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeout, l.IdleTimeout)
	return w.Flush()
}

type routesCmd struct{ caller }

func (*routesCmd) examples() string {
	return `  gateway routes          as nodes route by them, defaults filled in
  gateway routes --json   as they were submitted`
}

func (r *routesCmd) run(out io.Writer) error {
	b, raw, err := r.config()
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, section(raw, "vhosts"))
	}
	w := newTable(out, "NAME", "HOST", "PREFIX", "VARIANT", "TARGETS", "DEADLINE", "LATENCY TARGET", "MAX ATTEMPTS", "PRIORITY",
		"PUBLIC")
	for _, route := range routing.NewTable(b).Routes() {
		variant := routing.Pure
		if route.Effectful {
			variant = routing.Effectful
		}
		var to []string
		for _, t := range route.Targets {
			if len(route.Targets) > 1 {
				to = append(to, t.Service+" "+strconv.Itoa(t.Weight))
			} else {
				to = append(to, t.Service)
			}
		}
		w.row(route.Name, route.Host, route.Prefix, variant, strings.Join(to, ", "), route.Deadline, route.LatencyTarget, route.MaxAttempts,
			route.Priority, yesNo(route.Public))
	}
	return w.Flush()
}

// section is one field of an object as it was written.
func section(raw []byte, name string) []byte {
	var all map[string]json.RawMessage
	if json.Unmarshal(raw, &all) == nil {
		for field, value := range all {
			if strings.EqualFold(field, name) {
				return value
			}
		}
	}
	return []byte("[]")
}

type tenantsCmd struct {
	Keys bool `arg:"--keys" help:"print complete keys"`
	caller
}

func (*tenantsCmd) examples() string {
	return `  gateway tenants          keys by their first four characters
  gateway tenants --keys   complete keys`
}

func (t *tenantsCmd) run(out io.Writer) error {
	b, _, err := t.config()
	if err != nil {
		return err
	}
	if !t.Keys {
		for i := range b.Tenants {
			for j, k := range b.Tenants[i].ApiKeys {
				b.Tenants[i].ApiKeys[j] = redact(k)
			}
		}
	}
	if t.JSON {
		if b.Tenants == nil {
			b.Tenants = []routing.ConfigTenant{}
		}
		return json.NewEncoder(out).Encode(b.Tenants)
	}
	w := newTable(out, "NAME", "PRIORITY", "RATE", "BURST", "KEYS")
	for _, tenant := range b.Tenants {
		rate := "no limit"
		if tenant.RatePerS > 0 {
			rate = strconv.FormatFloat(tenant.RatePerS, 'g', -1, 64) + "/s"
		}
		w.row(tenant.Name, tenant.Priority, rate, tenant.Burst, strings.Join(tenant.ApiKeys, ", "))
	}
	return w.Flush()
}

// redact is what may be seen of a key; of a short one, less.
func redact(key string) string {
	n := min(visibleKeyChars, len(key)/2)
	for n > 0 && !utf8.RuneStart(key[n]) {
		n--
	}
	return key[:n] + "..."
}
