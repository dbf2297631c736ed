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

// Errors of a text that can't be read at all.
var (
	ErrNotYAML = errors.New("not YAML")
	ErrEmpty   = errors.New("empty")
)

// FieldError is a field whose value is wrong.
type FieldError struct {
	Field string // as the file names it, such as limits.memory_mb
	Err   error
}

// Error names the field and what is wrong with it.
func (f *FieldError) Error() string { return f.Field + ": " + f.Err.Error() }

// Unwrap gives what is wrong.
func (f *FieldError) Unwrap() error { return f.Err }

// fieldError names the field that an error is about; nil for none.
func fieldError(field string, err error) error {
	if err == nil {
		return nil
	}
	return &FieldError{Field: field, Err: err}
}

// document is the file as it is written: times and bounds are texts.
type document struct {
	Settings      `yaml:",inline"`
	HeartbeatText string   `yaml:"beat_interval" validate:"required"`
	BoundTexts    []string `yaml:"bounds"`
}

// Load reads the file at path. The error has the path, and is as Parse's otherwise.
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

// Parse reads the text of a file. Fields that are not known are passed over. The error is ErrNotYAML, ErrEmpty, the FieldError of a field
// of another type, or a FieldError for each field whose value is wrong, all at once (see multierr.Errors).
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

// parseHeartbeatInterval reads beat_interval; that it is there is checked elsewhere.
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

// validate checks what the tags say, and what needs two fields.
func (d *document) validate() error {
	err := d.validateTags()
	if d.InnerPorts[0] > d.InnerPorts[1] {
		err = multierr.Append(err, fieldError("inner_port_range", errors.New("the first is above the second")))
	}
	for _, requirement := range []struct{ serves, field, address string }{
		{"edge", "bind.front", d.Bind.Front},
		{"edge", "bind.readiness", d.Bind.Readiness},
		{"control", "bind.control", d.Bind.Control},
	} {
		if requirement.address == "" && slices.Contains(d.Serves, requirement.serves) {
			err = multierr.Append(err, fieldError(requirement.field, errors.Errorf("needed by what serves %s", requirement.serves)))
		}
	}
	return err
}

// validateTags checks what the tags say.
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
		_, path, _ := strings.Cut(f.Namespace(), ".") // without the document's type
		path = strings.TrimPrefix(path, inlined)
		err = multierr.Append(err, fieldError(path, errors.Errorf("%#v is not %s", f.Value(), ruleDescription(f))))
	}
	return err
}

// ruleDescription words what a field should have been.
func ruleDescription(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "given"
	case "hostname_port":
		return "host:port"
	case "ip":
		return "an address"
	case "min":
		return "at least " + f.Param()
	case "max":
		return "at most " + f.Param()
	}
	return f.Tag()
}

// yamlErrorMessage is the message of a YAML error without the lines of the file.
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
		return wrongType.SrcType.String() + " where " + wrongType.DstType.String() + " is wanted" + line
	}
	return y.GetMessage() + line
}

// fieldPath is the path of the field that a YAML error is about, "file" where it can't be told.
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
