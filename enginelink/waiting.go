package enginelink

import "encoding/json"

// priorityLevels is how many priorities of routes are counted separately. The last level
// includes all lower priorities. The users' routes have three.
const priorityLevels = 4

// lowerPriorityShare is the share of the less urgent prompt tokens that a request still waits
// for: the chunk that the engine is already processing when the request arrives.
const lowerPriorityShare = 0.25

// Waiting counts the prompt tokens that wait for prefill at an engine, by the priority of
// their routes. Engines process the more urgent ones first.
type Waiting [priorityLevels]int

// MarshalJSON omits trailing zeros to keep statuses small: they are most of the traffic of a link.
func (w Waiting) MarshalJSON() ([]byte, error) {
	levels := w[:]
	for len(levels) > 0 && levels[len(levels)-1] == 0 {
		levels = levels[:len(levels)-1]
	}
	return json.Marshal(levels)
}

// Add adds the tokens of a request of a priority. A negative number removes them.
func (w *Waiting) Add(priority, tokens int) {
	w[levelOf(priority)] += tokens
}

// Ahead returns how many tokens a new request of a priority waits for.
func (w *Waiting) Ahead(priority int) int {
	level := levelOf(priority)
	ahead, lower := 0, 0
	for i, tokens := range w {
		if i <= level {
			ahead += tokens
		} else {
			lower += tokens
		}
	}
	return ahead + int(lowerPriorityShare*float64(lower))
}

// Total returns the number of waiting tokens.
func (w *Waiting) Total() int {
	n := 0
	for _, tokens := range w {
		n += tokens
	}
	return n
}

func levelOf(priority int) int {
	return min(max(priority, 0), priorityLevels-1)
}
