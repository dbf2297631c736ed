package logentry

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

type (
	testOrder struct {
		Steps []testStep `json:"steps" validate:"dive"`
	}
	testStep struct {
		Share int `json:"share" validate:"min=1"`
	}
)

// Guards against a refusal whose field a caller could only tell by its text.
func TestValidateNamesTheField(t *testing.T) {
	must.NoError(t, Validate(&testOrder{}))
	err := errors.Wrap(Validate(&testOrder{Steps: []testStep{{}}}), "order")
	var field *FieldError
	must.True(t, errors.As(err, &field))
	must.Eq(t, FieldError{Field: "steps[0].share", Reason: "0 breaks min 1"}, *field)
	must.Eq(t, "order: steps[0].share: 0 breaks min 1", err.Error())
}
