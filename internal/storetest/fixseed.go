package storetest

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // registers the flags
)

// FixSeed sets a fixed seed and the number of checks for the property tests of a package. Repeated runs of the
// same code then have the same result. The flags -rapid.seed (0 is random) and -rapid.checks override it.
func FixSeed(checks int) {
	for name, value := range map[string]string{"rapid.checks": strconv.Itoa(checks), "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the library has renamed the flag
		}
	}
}
