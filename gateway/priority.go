package gateway

// lowestPriority is the least urgent priority of an engine; 0 is the most urgent one.
const lowestPriority = 9

// priority returns the configured priority of a request: that of its workspace if it has
// one, otherwise that of its route.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// enginePriority decides the priority that is sent to the engine: the configured one, and within it first
// the streams that their callers are already reading, as these see each pause.
func enginePriority(configured int, reading bool) int {
	p := 2 * max(0, configured)
	if !reading {
		p++
	}
	return min(lowestPriority, p)
}
