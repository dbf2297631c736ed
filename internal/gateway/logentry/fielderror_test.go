package logentry

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

type (
	testCommand struct {
		Steps []testStep `json:"steps" validate:"dive"`
	}
	testStep struct {
		Share int `json:"share" validate:"min=1"`
	}
)

// Guards against a validation error whose rejected field a caller can find only by parsing the text of the error.
func TestValidateNamesTheField(t *testing.T) {
	must.NoError(t, Validate(&testCommand{}))
	err := errors.Wrap(Validate(&testCommand{Steps: []testStep{{}}}), "order")
	var field *FieldError
	must.True(t, errors.As(err, &field))
	must.Eq(t, FieldError{Field: "steps[0].share", Reason: "0 breaks min 1"}, *field)
	must.Eq(t, "order: steps[0].share: 0 breaks min 1", err.Error())
}
