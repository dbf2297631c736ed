package logentry

import (
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// validate is the validator of commands. Its errors name fields by their json tags.
var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// Validate checks a command against its `validate` tags. It returns a *FieldError for the first invalid field. The error names the
// field by its path in JSON.
func Validate(command any) error {
	var fieldErrors validator.ValidationErrors
	err := validate.Struct(command)
	if !errors.As(err, &fieldErrors) {
		return err
	}
	first := fieldErrors[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	rule := strings.Trim(first.Tag()+" "+first.Param(), " ")
	return FieldErrorf(field, "%v breaks %s", first.Value(), rule)
}
