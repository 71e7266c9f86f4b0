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
	// Skew is the exponent of the Zipf popularity.
	Skew float64
	// WakeShare of the adapters changes places in popularity within an hour.
	WakeShare float64
}

// minTokens is the length of the shortest answer.
const minTokens = 4

// generator holds the state of one trace.
type generator struct {
	cumulative []float64
	estate     *Estate
	order      []int // the adapter at each rank of popularity
	rand       *rand.Rand
}

// Trace returns the requests of an estate, in order of time. The same options
// give the same trace.
func Trace(e *Estate, o Options) []Request {
	g := &generator{
		cumulative: zipf(e.Adapters, o.Skew),
		estate:     e,
		order:      make([]int, e.Adapters),
		rand:       rand.New(rand.NewPCG(o.Seed, uint64(len(e.Name)))),
	}
	for i := range g.order {
		g.order[i] = i
	}
	g.shuffle()
	swaps := o.WakeShare * float64(e.Adapters) / time.Hour.Seconds() / e.RequestsPerSecond
	var requests []Request
	for at := time.Duration(0); ; {
		at += time.Duration(g.rand.ExpFloat64() / e.RequestsPerSecond * float64(time.Second))
		if at >= o.Duration {
			return requests
		}
		if g.rand.Float64() < swaps {
			g.swap()
		}
		requests = append(requests, g.request(at))
	}
}

// AdapterName is the name of an estate's adapter by number.
func AdapterName(estate string, i int) sandbarrow.AdapterID {
	return sandbarrow.AdapterID(estate + "-" + strconv.Itoa(i))
}

// BaseModelOf is the base model of an adapter by number.
func (e *Estate) BaseModelOf(i int) sandbarrow.BaseModelID {
	return sandbarrow.BaseModelID("base-" + strconv.Itoa(i%e.BaseModels))
}

func (g *generator) request(at time.Duration) Request {
	rank := sort.SearchFloat64s(g.cumulative, g.rand.Float64())
	adapter := g.order[min(rank, len(g.order)-1)]
	class := g.class()
	return Request{
		Adapter:   AdapterName(g.estate.Name, adapter),
		At:        at,
		BaseModel: g.estate.BaseModelOf(adapter),
		Class:     class,
		Tokens:    max(minTokens, int(g.rand.ExpFloat64()*float64(class.Tokens))),
	}
}

func (g *generator) class() *ClassMix {
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
	g.rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// swap wakes one adapter and lets another fall idle.
func (g *generator) swap() {
	i, j := g.rand.IntN(len(g.order)), g.rand.IntN(len(g.order))
	g.order[i], g.order[j] = g.order[j], g.order[i]
}

// zipf returns the cumulative popularity of n ranks.
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
