package logentry

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// Guards against a refusal whose field a caller could only tell by its text.
func TestValidateNamesTheField(t *testing.T) {
	order := struct {
		Steps []struct {
			Share int `json:"share" validate:"min=1"`
		} `json:"steps" validate:"dive"`
	}{}
	must.NoError(t, Validate(&order))
	order.Steps = make([]struct {
		Share int `json:"share" validate:"min=1"`
	}, 1)
	err := errors.Wrap(Validate(&order), "order")
	var field *FieldError
	must.True(t, errors.As(err, &field))
	must.Eq(t, FieldError{Field: "steps[0].share", Reason: "0 breaks min 1"}, *field)
	must.Eq(t, "order: steps[0].share: 0 breaks min 1", err.Error())
}
