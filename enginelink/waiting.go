package enginelink

import "encoding/json"

// waitingLevels is how many priorities of routes are told apart; the last level holds
// all lower ones. The users' routes have three.
const waitingLevels = 4

// overtakenShare is the part of the less urgent prompts that a request waits for all the
// same: the piece that the engine reads when it arrives.
const overtakenShare = 0.25

// Waiting counts the prompt tokens that an engine has yet to read, by the priority of
// their routes: engines read the more urgent first.
type Waiting [waitingLevels]int

// MarshalJSON leaves out the zeros at the end: most of what a link carries are statuses.
func (w Waiting) MarshalJSON() ([]byte, error) {
	levels := w[:]
	for len(levels) > 0 && levels[len(levels)-1] == 0 {
		levels = levels[:len(levels)-1]
	}
	return json.Marshal(levels)
}

// Add counts the tokens of a request of a priority, or no longer where they are
// negative.
func (w *Waiting) Add(priority, tokens int) {
	w[levelOf(priority)] += tokens
}

// Ahead is how many tokens a new request of a priority waits for.
func (w *Waiting) Ahead(priority int) int {
	level := levelOf(priority)
	ahead, behind := 0, 0
	for i, tokens := range w {
		if i <= level {
			ahead += tokens
		} else {
			behind += tokens
		}
	}
	return ahead + int(overtakenShare*float64(behind))
}

// Total is how many tokens wait.
func (w *Waiting) Total() int {
	n := 0
	for _, tokens := range w {
		n += tokens
	}
	return n
}

func levelOf(priority int) int {
	return min(max(priority, 0), waitingLevels-1)
}
