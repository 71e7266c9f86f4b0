package gateway

// The descriptors and the memory of a gateway that callers' connections leave to others.
const (
	// reservedDescriptors are for files, the store, other gateways, readiness checks and metrics.
	reservedDescriptors = 264
	// connectionsPerCaller is the number of descriptors for each connection of a caller: its own, and one
	// to an upstream.
	connectionsPerCaller = 2
	// connectionBytes is what an open connection holds: its buffers, its goroutine and those of the
	// kernel.
	connectionBytes = 28 << 10
	// connectionMemoryShare is the share of the box's memory for callers' connections. Requests hold
	// more, which package heldbytes bounds.
	connectionMemoryShare = 0.25
	// minConnections is the least bound, for boxes whose figures leave nothing.
	minConnections = 64
)

// connectionBound decides how many connections of callers may be open.
//
// Inputs: the descriptors that the process may open and the memory of its box in MiB, each 0 if it is
// not known, and the number of controllers to which it keeps a link. It returns 0 for no bound.
func connectionBound(descriptors, memoryMB, links int) int {
	bound := 0
	if descriptors > 0 {
		bound = max(minConnections, (descriptors-reservedDescriptors-links)/connectionsPerCaller)
	}
	if memoryMB > 0 {
		byMemory := max(minConnections, int(connectionMemoryShare*float64(memoryMB<<20))/connectionBytes)
		if bound == 0 || byMemory < bound {
			bound = byMemory
		}
	}
	return bound
}
