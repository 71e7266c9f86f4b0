// Package throttle keeps the limits that upstreams name.
//
// An upstream in need names in its answers how many requests a second it takes from all
// processes together, for as long as it says so. A Table keeps what a process knows of such
// limits, the newest answer first.
//
// The package owns that memory, bounded and forgotten. It has no clock, lock or connection: its
// callers give the time and guard it.
package throttle

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Rate is a number of requests a second.
type Rate float64

// mostRate bounds what can be meant, in requests a second.
const mostRate Rate = 1e6

// ParseRate reads the decimal number in which an upstream names its limit.
func ParseRate(text string) (Rate, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, errors.NotValidf("limit %q (want requests a second)", text)
	}
	return min(Rate(rate), mostRate), nil
}
