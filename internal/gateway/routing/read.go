package routing

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// latencySlack bounds target_latency of a route: target_latency must be less than the deadline plus latencySlack (PROTOCOL.md, "The
// operator").
const latencySlack = time.Minute

// FieldError is an error in the body of a call, with the path of the field.
type FieldError struct {
	Path   string // such as vhosts[0].path_list[2].variant; empty if the error is about the whole body
	Reason string // what is wrong with the field, as a text for operators
}

// Error returns the path and the reason.
func (f *FieldError) Error() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// fieldError returns a *FieldError with a formatted reason.
func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: errors.Errorf(format, args...).Error()}
}

// ReadConfig parses and validates the complete configuration in the body of Config.Replace. Its errors are of type *FieldError.
// ReadConfig does not compare the generation with the configuration in force; the Register does.
func ReadConfig(body []byte) (*Config, error) {
	b := new(Config)
	if err := decodeBody(body, b); err != nil {
		return nil, err
	}
	return b, validate(b)
}

// ReadAmendment parses the change in the body of Config.Amend, and validates each item on its own. It does not check references between
// items. Its errors are of type *FieldError.
func ReadAmendment(body []byte) (*Amendment, error) {
	a := new(Amendment)
	if err := decodeBody(body, a); err != nil {
		return nil, err
	}
	return a, validate(a)
}

// decodeBody parses a body into a value. The body must be a single JSON object without trailing data.
func decodeBody(body []byte, into any) error {
	if !utf8.Valid(body) {
		return fieldError("", "the body is not UTF-8")
	}
	start := skipSpace(body, 0)
	if start == len(body) || body[start] != '{' {
		return fieldError("", "the body is not a JSON object")
	}
	err := json.Unmarshal(body, into)
	var typeErr *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &typeErr) {
		return fieldError("", "%s", err)
	}
	// Here the body is valid JSON, as checkStructure requires.
	if structureErr := checkStructure(body, start, 1, func() string { return "" }); structureErr != nil {
		return structureErr
	}
	if typeErr != nil {
		path := pathAtOffset(body, start, int(typeErr.Offset), "")
		return fieldError(path, "JSON %s cannot be converted to %s", typeErr.Value, typeErr.Type)
	}
	return nil
}

// validate checks a parsed value by its validate tags, by validateRoute and by validateServiceNames. It returns a *FieldError for the
// first violation.
func validate(v any) error {
	err := sharedValidator().Struct(v)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return fieldError("", "%s", err)
	}
	_, path, _ := strings.Cut(violations[0].Namespace(), ".")
	return fieldError(path, "%s", describeViolation(violations[0]))
}

// describeViolation returns the reason for a field that breaks a rule.
func describeViolation(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "missing"
	case "oneof":
		return "must be one of " + e.Param()
	case "startswith":
		return "must begin with " + e.Param()
	case "min":
		return "must be at least " + e.Param()
	case "span":
		return "must be a number followed by ms or s"
	case "latency":
		return "must be less than the deadline plus one minute"
	case "weights":
		return "the sum of the weights must be above 0"
	case "service":
		return "unknown service " + strconv.Quote(e.Param())
	}
	return "violates the validation rule " + e.Tag()
}

// sharedValidator returns the validator of all configurations, which is built at the first use.
var sharedValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("span", func(fl validator.FieldLevel) bool {
		_, err := ParseDuration(fl.Field().String())
		return err == nil
	}); err != nil {
		panic(err) // RegisterValidation fails only for an empty tag or a nil function
	}
	v.RegisterStructValidation(validateRoute, ConfigRoute{})
	v.RegisterStructValidation(validateServiceNames, Config{})
	return v
})

// validateRoute checks that the sum of the weights of a route is above 0, and that its target_latency is below its limit.
func validateRoute(sl validator.StructLevel) {
	r := sl.Current().Interface().(ConfigRoute)
	if len(r.WeightedTargets) > 0 {
		sum := 0.0 // a sum of integers could overflow to 0
		for _, t := range r.WeightedTargets {
			sum += float64(t.Weight)
		}
		if sum <= 0 {
			sl.ReportError(r.WeightedTargets, "weighted_targets", "WeightedTargets", "weights", "")
		}
	}
	if r.Deadline == nil || r.TargetLatency == nil {
		return
	}
	deadline, err1 := ParseDuration(*r.Deadline)
	target, err2 := ParseDuration(*r.TargetLatency)
	if err1 == nil && err2 == nil && target-deadline >= latencySlack {
		sl.ReportError(r.TargetLatency, "target_latency", "TargetLatency", "latency", "")
	}
}

// validateServiceNames checks that the configuration defines each service that a route names.
func validateServiceNames(sl validator.StructLevel) {
	b := sl.Current().Interface().(Config)
	serviceNames := make(map[string]bool, len(b.Services))
	for i := range b.Services {
		serviceNames[b.Services[i].Name] = true
	}
	for i := range b.Vhosts {
		for j := range b.Vhosts[i].PathList {
			r := &b.Vhosts[i].PathList[j]
			path := "vhosts[" + strconv.Itoa(i) + "].path_list[" + strconv.Itoa(j) + "]."
			for k, t := range r.WeightedTargets {
				if !serviceNames[t.Target] {
					at := path + "weighted_targets[" + strconv.Itoa(k) + "].target"
					sl.ReportError(t.Target, at, "Target", "service", t.Target)
				}
			}
			// A route without any target is reported as a route to the unknown service "".
			if (r.Target != "" || len(r.WeightedTargets) == 0) && !serviceNames[r.Target] {
				sl.ReportError(r.Target, path+"target", "Target", "service", r.Target)
			}
		}
	}
}
