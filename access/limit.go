package access

import (
	"strconv"
	"strings"
)

// Unit says what a limit counts.
type Unit string

// The units of a limit.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// mostCost bounds what one request may claim to need, so that sums stay exact.
const mostCost = 1 << 40

// Limit is how much a workspace may ask, over all gateways together.
type Limit struct {
	// Burst is what it may ask beyond PerSecond after a pause.
	Burst float64
	// PerSecond is the steady rate; 0 is no limit.
	PerSecond float64
	// PlainTokens is what a request counts that says nothing of tokens.
	PlainTokens int64
	Unit        Unit
}

// Limited reports whether there is a limit.
func (l *Limit) Limited() bool {
	return l.PerSecond > 0
}

// Cost is what a request counts against the limit. usage is its list of tokens: those
// of the prompt and the most that it may produce. A request without a well-formed list
// counts PlainTokens.
func (l *Limit) Cost(usage string) int64 {
	if l.Unit != UnitTokens {
		return 1
	}
	sum := int64(0)
	for text := range strings.SplitSeq(usage, ",") {
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || n < 0 || n > mostCost {
			return l.PlainTokens
		}
		sum += n
	}
	return min(sum, mostCost)
}
