package access

import (
	"strconv"
	"strings"
)

// Unit is what a limit counts.
type Unit string

// The units of a limit.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// maxCost bounds the cost that one request may declare, to keep sums exact.
const maxCost = 1 << 40

// Limit is how much a workspace may use, over all gateways together.
type Limit struct {
	// Burst is how many units it may use beyond PerSecond after a pause.
	Burst float64
	// PerSecond is the sustained rate in units. 0 means no limit.
	PerSecond float64
	// PlainTokens is the cost of a request that does not declare its tokens.
	PlainTokens int64
	Unit        Unit
}

// Limited reports whether there is a limit.
func (l *Limit) Limited() bool {
	return l.PerSecond > 0
}

// Cost returns the units that a request counts against the limit. usage is a list of token
// counts: those of the prompt and the maximum of the output. The cost of a request without a
// well-formed list is PlainTokens.
func (l *Limit) Cost(usage string) int64 {
	if l.Unit != UnitTokens {
		return 1
	}
	sum := int64(0)
	for text := range strings.SplitSeq(usage, ",") {
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || n < 0 || n > maxCost {
			return l.PlainTokens
		}
		sum += n
	}
	return min(sum, maxCost)
}
