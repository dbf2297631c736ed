package logentry

import (
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// validate names fields as JSON does.
var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// Validate checks an order by its `validate` tags. A FieldError names the first field that is wrong as its caller wrote it.
func Validate(order any) error {
	var all validator.ValidationErrors
	err := validate.Struct(order)
	if !errors.As(err, &all) {
		return err
	}
	first := all[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	rule := strings.Trim(first.Tag()+" "+first.Param(), " ")
	return FieldErrorf(field, "%v breaks %s", first.Value(), rule)
}
