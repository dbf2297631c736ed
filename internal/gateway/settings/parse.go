package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"go.uber.org/multierr"
)

// Errors of Parse for a file whose fields cannot be read.
var (
	ErrNotYAML = errors.New("not YAML")
	ErrEmpty   = errors.New("empty")
)

// FieldError is the error for a field with an invalid value.
type FieldError struct {
	Field string // name of the field in the file, such as limits.memory_mb
	Err   error
}

// Error returns the name of the field and the reason.
func (f *FieldError) Error() string { return f.Field + ": " + f.Err.Error() }

// Unwrap returns the reason why the value is invalid.
func (f *FieldError) Unwrap() error { return f.Err }

// fieldError returns a FieldError for a field, or nil if err is nil.
func fieldError(field string, err error) error {
	if err == nil {
		return nil
	}
	return &FieldError{Field: field, Err: err}
}

// document is the settings file before durations and bounds are parsed.
type document struct {
	Settings      `yaml:",inline"`
	HeartbeatText string   `yaml:"beat_interval" validate:"required"`
	BoundTexts    []string `yaml:"bounds"`
}

// Load reads and parses the settings file at path. The error contains the path and wraps the error of Parse.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(text)
	if err != nil { // errors.Wrap would return an error even if err is nil
		return nil, errors.Wrap(err, "settings "+path)
	}
	return s, nil
}

// Parse parses and validates the text of a settings file. Unknown fields are ignored. The error wraps ErrNotYAML, is ErrEmpty, or is a
// FieldError for the first field with a value of the wrong type. In all other cases the error combines a FieldError for each
// invalid field (see multierr.Errors).
func Parse(text []byte) (*Settings, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", ErrNotYAML, yamlErrorMessage(err))
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, ErrEmpty
	}
	var d document
	if err = yaml.NodeToValue(tree.Docs[0].Body, &d); err != nil {
		return nil, fieldError(fieldPath(tree.Docs[0].Body, err), errors.New(yamlErrorMessage(err)))
	}
	s := d.Settings
	err = multierr.Combine(d.validate(), s.parseHeartbeatInterval(d.HeartbeatText))
	s.Bounds = DefaultBounds()
	err = multierr.Append(err, s.Bounds.setFromTexts(d.BoundTexts))
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// parseHeartbeatInterval sets HeartbeatInterval from the text of beat_interval. It accepts an empty text, which validateTags rejects.
func (s *Settings) parseHeartbeatInterval(text string) error {
	if text == "" {
		return nil
	}
	interval, err := parseDuration(text)
	if err == nil && interval <= 0 {
		err = errors.New("must be above 0")
	}
	s.HeartbeatInterval = interval
	return fieldError("beat_interval", err)
}

// validate checks the validate tags and the rules that involve two fields.
func (d *document) validate() error {
	err := d.validateTags()
	if d.InnerPorts[0] > d.InnerPorts[1] {
		err = multierr.Append(err, fieldError("inner_port_range", errors.New("the first port is above the last port")))
	}
	for _, requirement := range []struct{ serves, field, address string }{
		{"edge", "bind.front", d.Bind.Front},
		{"edge", "bind.readiness", d.Bind.Readiness},
		{"control", "bind.control", d.Bind.Control},
	} {
		if requirement.address == "" && slices.Contains(d.Serves, requirement.serves) {
			err = multierr.Append(err, fieldError(requirement.field, errors.Errorf("required if serves contains %s", requirement.serves)))
		}
	}
	return err
}

// validateTags checks the validate tags. The error combines a FieldError for each field that breaks a rule.
func (d *document) validateTags() (err error) {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	invalid := v.Struct(d)
	var fields validator.ValidationErrors
	if !errors.As(invalid, &fields) {
		return invalid
	}
	inlined := reflect.TypeFor[Settings]().Name() + "."
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".") // removes the name of the type document
		path = strings.TrimPrefix(path, inlined)
		err = multierr.Append(err, fieldError(path, errors.Errorf("%#v is not %s", f.Value(), ruleDescription(f))))
	}
	return err
}

// ruleDescription returns the requirement that a field does not meet, as the end of a message "... is not ...".
func ruleDescription(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "given"
	case "hostname_port":
		return "host:port"
	case "ip":
		return "an IP address"
	case "min":
		return "at least " + f.Param()
	case "max":
		return "at most " + f.Param()
	}
	return f.Tag()
}

// yamlErrorMessage returns the message of a YAML error with the line number, but without the excerpt of the file.
func yamlErrorMessage(err error) string {
	var y yaml.Error
	if !errors.As(err, &y) {
		return err.Error()
	}
	line := ""
	if t := y.GetToken(); t != nil {
		line = " (line " + strconv.Itoa(t.Position.Line) + ")"
	}
	var wrongType *yaml.TypeError
	if errors.As(err, &wrongType) {
		return wrongType.SrcType.String() + " given, " + wrongType.DstType.String() + " required" + line
	}
	return y.GetMessage() + line
}

// fieldPath returns the path of the field with a YAML error, or "file" if the field is not known.
func fieldPath(root ast.Node, err error) string {
	var y yaml.Error
	if !errors.As(err, &y) || y.GetToken() == nil {
		return "file"
	}
	f := &nodeFinder{offset: y.GetToken().Position.Offset, path: "file"}
	ast.Walk(f, root)
	return strings.TrimPrefix(f.path, "$.")
}

// nodeFinder finds the path of the YAML node that begins at an offset. If several nodes begin there, it finds the innermost node, which
// ast.Walk visits last.
type nodeFinder struct {
	offset int
	path   string
}

// Visit stores the path of the node if the node begins at the offset. It implements ast.Visitor.
func (n *nodeFinder) Visit(node ast.Node) ast.Visitor {
	if t := node.GetToken(); t != nil && t.Position.Offset == n.offset && node.GetPath() != "" {
		n.path = node.GetPath()
	}
	return n
}
