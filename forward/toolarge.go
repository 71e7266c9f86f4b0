package forward

import (
	"fmt"

	"github.com/juju/errors"
)

// Part is a part of an upstream's response.
type Part string

// The parts of a response that have a bound.
const (
	PartBody  Part = "body"
	PartEvent Part = "event"
	PartHead  Part = "head"
	// PartStale is the body of a response to an earlier request.
	PartStale Part = "stale"
	// PartStream is all events of a response together.
	PartStream Part = "stream"
)

// TooLargeError is an ErrBroken: a part of the response exceeds its bound.
type TooLargeError struct {
	// Limit is the bound in bytes or lines, as Unit says.
	Limit int64
	Part  Part
	Unit  string
}

// Error returns the part and its bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %s exceeds %d %s", ErrBroken, e.Part, e.Limit, e.Unit)
}

// Is reports whether the target is ErrBroken.
func (e *TooLargeError) Is(target error) bool { return target == ErrBroken }

// broken returns an ErrBroken with the cause err.
func broken(err error) error {
	if errors.Is(err, ErrBroken) {
		return err
	}
	return errors.Annotate(ErrBroken, err.Error())
}
