package logentry

import "fmt"

// FieldError tells which field of an order or an entry is refused, by the name that its caller wrote, and why.
type FieldError struct {
	Field  string // such as "steps[1].share"
	Reason string
}

// Error gives the field and the reason.
func (f *FieldError) Error() string { return f.Field + ": " + f.Reason }

// FieldErrorf makes a FieldError.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
