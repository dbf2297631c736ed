package logentry

import "fmt"

// FieldError says which field of a command or an entry is rejected, and why.
type FieldError struct {
	Field  string // path of the field in the JSON of the caller, such as "steps[1].share"
	Reason string
}

// Error returns the field and the reason.
func (f *FieldError) Error() string { return f.Field + ": " + f.Reason }

// FieldErrorf returns a *FieldError with a formatted reason.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
