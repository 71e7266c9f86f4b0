package forward

import "fmt"

// Part is a part of an upstream's response.
type Part string

// The parts of a response that have a bound.
const (
	PartBody  Part = "body"
	PartEvent Part = "event"
)

// TooLargeError is an ErrBroken: a part of the response exceeds its bound.
type TooLargeError struct {
	Part Part
	// Limit is the bound, in bytes.
	Limit int64
}

// Error returns the part and its bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %s exceeds %d bytes", ErrBroken, e.Part, e.Limit)
}

// Is reports whether the target is ErrBroken.
func (e *TooLargeError) Is(target error) bool { return target == ErrBroken }
