package quota

// lowestPriority is the least urgent priority that a limit tells apart. Less urgent ones count as this
// one.
const lowestPriority = 9

// classOf returns the class of a request: the rank of its priority among the requests of its
// workspace, from 0 for the most urgent.
func classOf(r *Request) int {
	return min(max(r.Priority, 0), lowestPriority)
}
