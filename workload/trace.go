package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Request is one request of a trace.
type Request struct {
	Adapter sandbarrow.AdapterID
	// At is the time since the start of the trace.
	At        time.Duration
	BaseModel sandbarrow.BaseModelID
	Class     *ClassMix
	Tokens    int
}

// Options shape a trace.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Skew is the exponent of the Zipf distribution of adapter popularity.
	Skew float64
	// ChurnShare is the number of swaps of two adapters' popularity per hour, relative to the number of
	// adapters.
	ChurnShare float64
}

// minTokens is the minimum length of a response.
const minTokens = 4

// generator holds the state of one trace.
type generator struct {
	cumulative []float64
	estate     *Estate
	ranking    []int // the adapter at each popularity rank
	rand       *rand.Rand
}

// Trace returns the requests of an estate in chronological order. The same options give the same
// trace.
func Trace(e *Estate, o Options) []Request {
	g := &generator{
		cumulative: zipf(e.Adapters, o.Skew),
		estate:     e,
		ranking:    make([]int, e.Adapters),
		rand:       rand.New(rand.NewPCG(o.Seed, uint64(len(e.Name)))),
	}
	for i := range g.ranking {
		g.ranking[i] = i
	}
	g.shuffle()
	swapChance := o.ChurnShare * float64(e.Adapters) / time.Hour.Seconds() / e.RequestsPerSecond
	var requests []Request
	for at := time.Duration(0); ; {
		at += time.Duration(g.rand.ExpFloat64() / e.RequestsPerSecond * float64(time.Second))
		if at >= o.Duration {
			return requests
		}
		if g.rand.Float64() < swapChance {
			g.swapRanks()
		}
		requests = append(requests, g.newRequest(at))
	}
}

// AdapterName returns the name of adapter number i of an estate.
func AdapterName(estate string, i int) sandbarrow.AdapterID {
	return sandbarrow.AdapterID(estate + "-" + strconv.Itoa(i))
}

// BaseModelOf returns the base model of adapter number i.
func (e *Estate) BaseModelOf(i int) sandbarrow.BaseModelID {
	return sandbarrow.BaseModelID("base-" + strconv.Itoa(i%e.BaseModels))
}

func (g *generator) newRequest(at time.Duration) Request {
	rank := sort.SearchFloat64s(g.cumulative, g.rand.Float64())
	adapter := g.ranking[min(rank, len(g.ranking)-1)]
	callerClass := g.callerClass()
	return Request{
		Adapter:   AdapterName(g.estate.Name, adapter),
		At:        at,
		BaseModel: g.estate.BaseModelOf(adapter),
		Class:     callerClass,
		Tokens:    max(minTokens, int(g.rand.ExpFloat64()*float64(callerClass.Tokens))),
	}
}

func (g *generator) callerClass() *ClassMix {
	x := g.rand.Float64()
	for i := range g.estate.Classes {
		x -= g.estate.Classes[i].Share
		if x < 0 {
			return &g.estate.Classes[i]
		}
	}
	return &g.estate.Classes[0]
}

func (g *generator) shuffle() {
	g.rand.Shuffle(len(g.ranking), func(i, j int) { g.ranking[i], g.ranking[j] = g.ranking[j], g.ranking[i] })
}

// swapRanks swaps the popularity ranks of two random adapters.
func (g *generator) swapRanks() {
	i, j := g.rand.IntN(len(g.ranking)), g.rand.IntN(len(g.ranking))
	g.ranking[i], g.ranking[j] = g.ranking[j], g.ranking[i]
}

// zipf returns the cumulative Zipf distribution over n ranks.
func zipf(n int, skew float64) []float64 {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		cumulative[i] = sum
	}
	for i := range n {
		cumulative[i] /= sum
	}
	return cumulative
}
