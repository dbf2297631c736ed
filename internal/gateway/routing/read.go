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

// latencySlack is how far a route's target_latency stays below over its deadline (PROTOCOL.md, "The
// operator").
const latencySlack = time.Minute

// FieldError is why a body was rejected, and where in it.
type FieldError struct {
	Path   string // such as vhosts[0].path_list[2].variant; empty where it is the body itself
	Reason string // in words
}

// Error gives the path and the reason.
func (f *FieldError) Error() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: errors.Errorf(format, args...).Error()}
}

// ReadConfig reads and checks a complete configuration as Config.Replace carries it. Its errors are *FieldError. That
// its generation is above the current one is for the Register to say.
func ReadConfig(body []byte) (*Config, error) {
	b := new(Config)
	if err := decodeBody(body, b); err != nil {
		return nil, err
	}
	return b, validate(b)
}

// ReadAmendment reads a change as Config.Amend carries it, and checks its items each by itself. Its errors
// are *FieldError.
func ReadAmendment(body []byte) (*Amendment, error) {
	a := new(Amendment)
	if err := decodeBody(body, a); err != nil {
		return nil, err
	}
	return a, validate(a)
}

// decodeBody fills into from one JSON object and nothing after it.
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
	// The body is valid JSON.
	if structureErr := checkStructure(body, start, 1, func() string { return "" }); structureErr != nil {
		return structureErr
	}
	if typeErr != nil {
		path := pathAtOffset(body, start, int(typeErr.Offset), "")
		return fieldError(path, "a %s cannot be a %s", typeErr.Value, typeErr.Type)
	}
	return nil
}

// validate checks what was read by its tags and by the rules below.
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
		return "a minute or more over the deadline"
	case "weights":
		return "the weights add up to 0"
	case "service":
		return "there is no service " + strconv.Quote(e.Param())
	}
	return "breaks the rule " + e.Tag()
}

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
		panic(err) // only an empty tag or function is an error
	}
	v.RegisterStructValidation(validateRoute, ConfigRoute{})
	v.RegisterStructValidation(validateServiceNames, Config{})
	return v
})

func validateRoute(sl validator.StructLevel) {
	r := sl.Current().Interface().(ConfigRoute)
	if len(r.WeightedTargets) > 0 {
		sum := 0.0 // integers could wrap around to 0
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
			// A route without any target names no service at all, which is rejected as an unknown one is.
			if (r.Target != "" || len(r.WeightedTargets) == 0) && !serviceNames[r.Target] {
				sl.ReportError(r.Target, path+"target", "Target", "service", r.Target)
			}
		}
	}
}
