// Package settings reads and checks the settings file of a process.
package settings

import (
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"go.uber.org/multierr"
)

// PathEnv names the variable that holds the path of the settings file.
const PathEnv = "CLOVERGAP_BOOT"

// Settings is what a process is told. Fields are named in the file as their tags say.
type Settings struct {
	NodeName          string            `yaml:"node_name" validate:"required"`
	Role              string            `yaml:"role"`
	Serves            []string          `yaml:"serves"` // edge, control, both or none
	IPAddress         string            `yaml:"ip" validate:"required,ip"`
	Zone              string            `yaml:"zone" validate:"required"`
	Region            string            `yaml:"region"`
	Zones             map[string]string `yaml:"zones"` // region of each zone
	Bind              Bind              `yaml:"bind"`
	InnerPorts        [2]int            `yaml:"inner_port_range" validate:"dive,min=1,max=65535"` // first and last
	SeedAddrs         []string          `yaml:"seed_addrs" validate:"dive,hostname_port"`
	FirstBoot         bool              `yaml:"first_boot"`
	CountsAsLoss      bool              `yaml:"counts_as_loss"`
	Limits            Limits            `yaml:"limits"`
	DataDir           string            `yaml:"data_dir"` // empty: no disk
	HeartbeatInterval time.Duration     `yaml:"-"`        // beat_interval
	Contracts         []string          `yaml:"contracts"`
	Tolerance         Tolerance         `yaml:"tolerates"`
	Bounds            Bounds            `yaml:"-"` // bounds
}

// Bind holds what to listen at, host:port; empty where the role does not serve it.
type Bind struct {
	Front     string `yaml:"front" validate:"omitempty,hostname_port"`
	Readiness string `yaml:"readiness" validate:"omitempty,hostname_port"`
	Control   string `yaml:"control" validate:"omitempty,hostname_port"`
}

// Limits are what the machine grants this process.
type Limits struct {
	CPUShare float64 `yaml:"cpu_share" validate:"min=0"` // of a core
	Cores    float64 `yaml:"cores" validate:"min=0"`     // how many times as fast
	MemoryMB int     `yaml:"memory_mb" validate:"min=0"` // 0: not told
	MaxFDs   int     `yaml:"max_fds" validate:"min=0"`
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0"`
	DiskMB   int     `yaml:"disk_mb" validate:"min=0"`
}

// Tolerance is what may be lost at once while all rules hold.
type Tolerance struct {
	Machines int `yaml:"machines" validate:"min=0"`
	Zones    int `yaml:"zones" validate:"min=0"`
	Regions  int `yaml:"regions" validate:"min=0"`
}

// Bounds are the figures of the rules. What the file does not name stays as in Usual.
type Bounds struct {
	SeedStale     time.Duration `bound:"seed_stale"`
	AddrReuse     time.Duration `bound:"addr_reuse"`
	InTouch       time.Duration `bound:"in_touch"`
	AckWithin     time.Duration `bound:"ack_within"`
	CatchUp       time.Duration `bound:"catch_up"`
	BackendDrain  time.Duration `bound:"drain"`
	ShutdownGrace time.Duration `bound:"grace"`
	LossSlack     time.Duration `bound:"loss_slack"`
	ApplyWithin   time.Duration `bound:"apply_within"`
	RevertSlack   time.Duration `bound:"revert_slack"`
	MaxStretch    time.Duration `bound:"max_stretch"`
	StrictRevoke  bool          `bound:"strict_revoke"`
	RevokeWithin  time.Duration `bound:"revoke_within"`
	RetryRatio    float64       `bound:"retry_ratio"`
	RetryWindow   time.Duration `bound:"retry_window"`
	RetryExtra    float64       `bound:"retry_extra"`
	QuotaWindow   time.Duration `bound:"quota_window"`
	QuotaExcess   float64       `bound:"quota_excess"`
	QuotaMargin   float64       `bound:"quota_margin"`
	Recovery      time.Duration `bound:"recovery"`
	WatchHistory  time.Duration `bound:"history"` // a watch resumes from a revision that it was given so long ago
	LockRelease   time.Duration `bound:"release"` // a lock whose time has run out is free within it
}

// ReadyMaxAge is the age of a node's word of the core from which it wants no clients: calm machines are in touch that long after the last
// event, and have newer word by then.
func (b Bounds) ReadyMaxAge() time.Duration { return b.InTouch }

// AuthoritativeMaxAge is the age up to which a node answers for sure by its own state: a change that it may lack is to be in force in ApplyWithin. The
// rest is for the answer's way.
func (b Bounds) AuthoritativeMaxAge() time.Duration { return b.ApplyWithin - b.ApplyWithin/25 }

// PartitionedAge is the age from which others are to be asked rather than waited for: half of what makes a machine in touch again, and
// more than an ordinary change of leaders takes (0.4 to 0.8 s of silence, a few syncs, and a heartbeat's way back).
func (b Bounds) PartitionedAge() time.Duration { return b.InTouch / 2 }

// DefaultBounds holds the figures of the example in DEPLOY.md.
func DefaultBounds() Bounds {
	const s, ms = time.Second, time.Millisecond
	return Bounds{SeedStale: 3 * s, AddrReuse: 2 * s, InTouch: 3 * s, AckWithin: 5 * s, CatchUp: 4 * s,
		BackendDrain: 2500 * ms, ShutdownGrace: 6 * s, LossSlack: 200 * ms, ApplyWithin: 2500 * ms, RevertSlack: 250 * ms,
		MaxStretch: 8 * s, RevokeWithin: 5 * s, RetryRatio: 0.2, RetryWindow: 10 * s, RetryExtra: 64,
		QuotaWindow: 5 * s, QuotaExcess: 0.1, QuotaMargin: 20, Recovery: 15 * s,
		WatchHistory: 20 * s, LockRelease: 1500 * ms}
}

// document is the sheet as it is written: times and bounds are texts.
type document struct {
	Settings      `yaml:",inline"`
	HeartbeatText string   `yaml:"beat_interval" validate:"required"`
	BoundTexts    []string `yaml:"bounds"`
}

// Load reads the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(text)
	if err != nil { // Wrap makes an error of none
		return nil, errors.Wrap(err, "settings "+path)
	}
	return s, nil
}

// Parse reads the text of a file. Fields that are not known are passed over; an error names all wrong ones
// as the file does, such as limits.memory_mb, unless the text cannot be read at all.
func Parse(text []byte) (*Settings, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, errors.Errorf("not YAML: %s", yamlMessage(err))
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, errors.New("empty")
	}
	var f document
	if err = yaml.NodeToValue(tree.Docs[0].Body, &f); err != nil {
		return nil, errors.Errorf("%s: %s", fieldPath(tree.Docs[0].Body, err), yamlMessage(err))
	}
	err = validate(&f)
	s := f.Settings
	if f.HeartbeatText != "" {
		d, wrong := parseDuration(f.HeartbeatText)
		if wrong == nil && d <= 0 {
			wrong = errors.New("must be above 0")
		}
		if wrong != nil {
			err = multierr.Append(err, errors.Wrap(wrong, "beat_interval"))
		}
		s.HeartbeatInterval = d
	}
	s.Bounds = DefaultBounds()
	err = multierr.Append(err, s.Bounds.parse(f.BoundTexts))
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// validate checks what the tags say, and what needs two fields.
func validate(f *document) (err error) {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	if wrong := v.Struct(f); wrong != nil {
		var all validator.ValidationErrors
		if !errors.As(wrong, &all) {
			return wrong
		}
		for _, e := range all {
			_, path, _ := strings.Cut(e.Namespace(), ".") // without the type
			path = strings.TrimPrefix(path, "Sheet.")
			err = multierr.Append(err, errors.Errorf("%s: %#v is not %s", path, e.Value(), describeRule(e)))
		}
	}
	if f.InnerPorts[0] > f.InnerPorts[1] {
		err = multierr.Append(err, errors.New("inner_port_range: the first is above the second"))
	}
	needs := func(serves, path, addr string) {
		if addr == "" && slices.Contains(f.Serves, serves) {
			err = multierr.Append(err, errors.Errorf("%s: needed by what serves %s", path, serves))
		}
	}
	needs("edge", "bind.front", f.Bind.Front)
	needs("edge", "bind.readiness", f.Bind.Readiness)
	needs("control", "bind.control", f.Bind.Control)
	return err
}

// describeRule words what a field should have been.
func describeRule(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "given"
	case "hostname_port":
		return "host:port"
	case "ip":
		return "an address"
	case "min":
		return "at least " + e.Param()
	case "max":
		return "at most " + e.Param()
	}
	return e.Tag()
}

// parse takes texts name=value; names that are not known are passed over.
func (b *Bounds) parse(texts []string) (err error) {
	at := map[string]reflect.Value{}
	v := reflect.ValueOf(b).Elem()
	for i := range v.NumField() {
		at[v.Type().Field(i).Tag.Get("bound")] = v.Field(i)
	}
	for _, t := range texts {
		name, value, ok := strings.Cut(t, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		field, known := at[name]
		if !ok {
			err = multierr.Append(err, errors.Errorf("bounds: %q is not name=value", t))
		} else if known {
			if wrong := setBound(field, value); wrong != nil {
				err = multierr.Append(err, errors.Wrap(wrong, "bounds."+name))
			}
		}
	}
	return err
}

func setBound(field reflect.Value, value string) error {
	switch p := field.Addr().Interface().(type) {
	case *time.Duration:
		d, err := parseDuration(value)
		*p = d
		return err
	case *bool:
		if value != "true" && value != "false" {
			return errors.Errorf("%q is neither true nor false", value)
		}
		*p = value == "true"
	case *float64:
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e12) {
			return errors.Errorf("%q is not a number from 0", value)
		}
		*p = x
	}
	return nil
}

// parseDuration reads a time as the pages write it: a number and its unit, ms or s.
func parseDuration(text string) (time.Duration, error) {
	unit, digits := time.Millisecond, strings.TrimSuffix(text, "ms")
	if digits == text {
		unit, digits = time.Second, strings.TrimSuffix(text, "s")
	}
	x, err := strconv.ParseFloat(digits, 64)
	if err != nil || digits == text || !(x >= 0 && x < 1e9) {
		return 0, errors.Errorf("%q is not a time such as 1500ms or 2.5s", text)
	}
	return time.Duration(x * float64(unit)), nil
}

// RestartRequired names the fields that differ from other and are taken up by a restart only; the rest may change at
// any time.
func (s *Settings) RestartRequired(other *Settings) []string {
	var names []string
	differ := func(name string, same bool) {
		if !same {
			names = append(names, name)
		}
	}
	differ("node_name", s.NodeName == other.NodeName)
	differ("role", s.Role == other.Role)
	differ("serves", slices.Equal(s.Serves, other.Serves))
	differ("ip", s.IPAddress == other.IPAddress)
	differ("zone", s.Zone == other.Zone)
	differ("region", s.Region == other.Region)
	differ("bind.front", s.Bind.Front == other.Bind.Front)
	differ("bind.readiness", s.Bind.Readiness == other.Bind.Readiness)
	differ("bind.control", s.Bind.Control == other.Bind.Control)
	differ("inner_port_range", s.InnerPorts == other.InnerPorts)
	differ("counts_as_loss", s.CountsAsLoss == other.CountsAsLoss)
	differ("data_dir", s.DataDir == other.DataDir)
	return names
}

// yamlMessage is the message of a YAML error without the lines of the file.
func yamlMessage(err error) string {
	var y yaml.Error
	if !errors.As(err, &y) {
		return err.Error()
	}
	line := ""
	if t := y.GetToken(); t != nil {
		line = " (line " + strconv.Itoa(t.Position.Line) + ")"
	}
	var wrong *yaml.TypeError
	if errors.As(err, &wrong) {
		return wrong.SrcType.String() + " where " + wrong.DstType.String() + " is wanted" + line
	}
	return y.GetMessage() + line
}

// fieldPath finds the path of the field that an error is about.
func fieldPath(root ast.Node, err error) string {
	var y yaml.Error
	if !errors.As(err, &y) || y.GetToken() == nil {
		return "file"
	}
	f := &nodeFinder{offset: y.GetToken().Position.Offset, path: "file"}
	ast.Walk(f, root)
	return strings.TrimPrefix(f.path, "$.")
}

// nodeFinder looks for the node that begins at an offset; of several the innermost, which comes last.
type nodeFinder struct {
	offset int
	path   string
}

// Visit is called for each node.
func (n *nodeFinder) Visit(node ast.Node) ast.Visitor {
	if t := node.GetToken(); t != nil && t.Position.Offset == n.offset && node.GetPath() != "" {
		n.path = node.GetPath()
	}
	return n
}
