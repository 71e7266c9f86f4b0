package cmd

import "runtime/debug"

// gcPercent is the GOGC value of a daemon. The live heap of a daemon is a few megabytes. With the
// default of 100 the garbage collector would run dozens of times per second under load.
const gcPercent = 250

// setGCPercent sets the GOGC value of this process.
func setGCPercent() {
	debug.SetGCPercent(gcPercent)
}

// heapShare is the share of the box's memory that the Go heap may reach before the garbage collector
// runs more often. The rest is for buffers of the kernel.
const heapShare = 0.7

// setMemoryLimit limits the Go heap of this process on a box with this much memory, in MiB; 0 means
// no limit.
func setMemoryLimit(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryMB<<20)))
	}
}
