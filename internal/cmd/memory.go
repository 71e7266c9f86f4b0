package cmd

import "runtime/debug"

// gcPercent is the GOGC value of a daemon. The live heap of a daemon is a few megabytes. With the
// default of 100 the garbage collector would run dozens of times per second under load.
const gcPercent = 250

// setGCPercent sets the GOGC value of this process.
func setGCPercent() {
	debug.SetGCPercent(gcPercent)
}
