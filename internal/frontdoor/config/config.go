// Package config reads what a front door is told at its start.
package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"clovergap/control"
)

// Config is what a front door is told.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	WatchTimeout  time.Duration // of a watch of discovery
	PeerListen    string
	Peers         []netip.AddrPort // in the order of the gateways' numbers, its own included
	GatewayIndex  int
	Seed          int64
	Cores         float64
	MemoryMB      int
	Sockets       int
	KnownBackends json.RawMessage // the list of backends as last known
	Settings      control.Settings
	Zones         []string
	Products      []Product
	Plans         []string
	LoadFields    []string // of load reports, in the protocol's words
	IdleTimeout   time.Duration
	DialTimeout   time.Duration
	MaxInFlight   int
	MaxUnits      float64 // of a txn
}

// Product is what the front door needs to know of a kind of txn.
type Product struct {
	Name  string
	Keyed bool // carries a key
	Safe  bool // may run again
}

// document is the file's.
type document struct {
	Name, Listen, Discovery, Seed string
	PeerListen                    string `json:"peer_listen"`
	WatchTimeoutMS                int    `json:"discovery_wait_ms"`
	Peers                         []string
	Limits                        struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// protocolSettings are the settings that the protocol needs by their own names.
type protocolSettings struct {
	Dcs            []string
	RequestClasses []struct{ Name, Effect string }
	Plans          []struct{ Name string }
	Report         struct{ Fields []string }
}

// Load reads a file and complains in one line.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: set NODE_CONFIG or --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func Parse(text []byte) (*Config, error) {
	var f document
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, PeerListen: f.PeerListen,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, KnownBackends: f.Known}
	seed, err := strconv.ParseUint(strings.TrimPrefix(f.Seed, "0x"), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: not a hexadecimal number")
	}
	c.Seed = int64(seed)
	for name, at := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err = netip.ParseAddrPort(at); err != nil {
			return nil, fmt.Errorf("%s: not an address with a port: %q", name, at)
		}
	}
	if f.WatchTimeoutMS == 0 {
		f.WatchTimeoutMS = 1000
	}
	if c.WatchTimeout = time.Duration(f.WatchTimeoutMS) * time.Millisecond; f.WatchTimeoutMS < 100 || f.WatchTimeoutMS > 60000 {
		return nil, fmt.Errorf("discovery_wait_ms: from 100 to 60000")
	}
	if c.MemoryMB < 16 || c.Sockets < 64 {
		return nil, fmt.Errorf("limits: memory_mb is 16 at the least, sockets 64")
	}
	if c.Settings, err = ParseJSON(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var known protocolSettings
	if err = json.Unmarshal(f.Settings, &known); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Zones, c.LoadFields = known.Dcs, known.Report.Fields
	for _, p := range known.RequestClasses {
		c.Products = append(c.Products, Product{p.Name, settingValues[p.Effect] == "referenced", settingValues[p.Effect] == "inquiry-like"})
	}
	for _, p := range known.Plans {
		c.Plans = append(c.Plans, p.Name)
	}
	for _, n := range []struct {
		name string
		to   *int
	}{{"me", &c.GatewayIndex}, {"limits.most_held", &c.MaxInFlight}} {
		if *n.to, err = strconv.Atoi(c.Settings[n.name]); err != nil {
			return nil, fmt.Errorf("setting %s: not a whole number", n.name)
		}
	}
	for _, n := range []struct {
		name string
		to   *time.Duration
	}{{"limits.conn_idle", &c.IdleTimeout}, {"limits.dial_timeout", &c.DialTimeout}} {
		us, wrong := strconv.ParseFloat(c.Settings[n.name], 64)
		if wrong != nil || us <= 0 {
			return nil, fmt.Errorf("setting %s: not a time in microseconds", n.name)
		}
		*n.to = time.Duration(us) * time.Microsecond
	}
	if c.MaxUnits, err = strconv.ParseFloat(c.Settings["quota.most_units"], 64); err != nil || !(c.MaxUnits > 0) {
		return nil, fmt.Errorf("setting quota.most_units: not a number over 0")
	}
	if c.Settings["limits.peers"] == "true" {
		return c, c.parsePeers(f.Peers)
	}
	return c, nil
}

// RestartOnlyChanges names what another configuration has otherwise and only a restart can change.
func (c *Config) RestartOnlyChanges(other *Config) (names []string) {
	for _, x := range []struct {
		name string
		same bool
	}{{"listen", c.Listen == other.Listen}, {"peer_listen", c.PeerListen == other.PeerListen},
		{"limits", c.Cores == other.Cores && c.MemoryMB == other.MemoryMB && c.Sockets == other.Sockets},
		{"settings", maps.Equal(c.Settings, other.Settings)}} {
		if !x.same {
			names = append(names, x.name)
		}
	}
	return names
}

func (c *Config) parsePeers(all []string) error {
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: not an address with a port: %q", c.PeerListen)
	}
	for _, at := range all {
		a, err := netip.ParseAddrPort(at)
		if err != nil {
			return fmt.Errorf("peers: not an address with a port: %q", at)
		}
		c.Peers = append(c.Peers, a)
	}
	if want := c.Settings["gateways"]; want != strconv.Itoa(len(c.Peers)) {
		return fmt.Errorf("peers: %d addresses for %s front doors", len(c.Peers), want)
	}
	return nil
}
