package logentry

import "fmt"

// FieldError reports which field of a command or an entry is rejected, by the name that the caller wrote, and why.
type FieldError struct {
	Field  string // such as "steps[1].share"
	Reason string
}

// Error returns the field and the reason.
func (f *FieldError) Error() string { return f.Field + ": " + f.Reason }

// FieldErrorf returns a *FieldError with a formatted reason.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
