package quota

import (
	"math"
	"time"

	"sandbarrow.example/sandbarrow/retry"
)

const (
	// demandTime is the time constant with which the demand of a class decays. It follows a
	// workspace whose load changes within some seconds, and holds several requests of a class
	// that asks a few times a second.
	demandTime = 1500 * time.Millisecond
	// headroomTime is for how long a class leaves the demand of the classes before it in the
	// bucket. It covers the bursts of those classes, so that they don't wait for a refill.
	headroomTime = 400 * time.Millisecond
	// maxHeadroomShare bounds that headroom as a share of the bucket's depth. The rest holds the
	// units that no class has asked for.
	maxHeadroomShare = 0.5
	// noShortageShare is the share of the refill up to which all classes may ask without any
	// headroom. The demand is an estimate, and a workspace below its limit must not be ordered by it.
	noShortageShare = 0.7
	// minShares is the share of the refill that the classes with demand keep together, in equal
	// parts, whatever the classes before them ask for. None starves then.
	minShares = 0.1
	// maxCreditSeconds bounds how long a class collects its minimum share.
	maxCreditSeconds = 1
	// classTTL is the time without a request after which a class counts as without demand.
	classTTL = 10 * time.Second
)

// classDemand is what the requests of one class have asked for. Its zero value is for a class without
// demand.
type classDemand struct {
	// credit is the unused part of the class's minimum share, in units.
	credit float64
	// largest is the largest request that the limit can ever grant, in units.
	largest float64
	// offered is the decayed sum of the units asked for, granted or not.
	offered float64
	// returns are the refused callers that were told when to come back.
	returns retry.Returns
	seenAt  time.Time
}

// rate estimates the units per second that the class asks for.
func (d *classDemand) rate() float64 {
	return d.offered / demandTime.Seconds()
}

// burst is the units that let one request of the class pass, whatever its size. It is bounded for
// plans that hold few of the largest requests.
func (d *classDemand) burst(p *Plan) float64 {
	return min(d.largest, p.Depth*minDepthShare)
}

// hasCredit reports whether the class has collected enough of its minimum share for a request of any
// size.
func (d *classDemand) hasCredit() bool {
	return d.credit >= d.largest
}

// demand tracks the classes of one workspace, the most urgent one first. It decides nothing while
// the bucket has units left; a workspace within its limit is granted all that it asks for.
type demand struct {
	classes   [lowestPriority + 1]classDemand
	updatedAt time.Time
}

// record adds a request to the demand of its class.
func (d *demand) record(now time.Time, i int, units float64, p *Plan) {
	d.advance(now, p)
	c := &d.classes[i]
	c.offered += units
	if units <= p.Depth {
		c.largest = max(c.largest, units)
	}
	c.seenAt = now
}

// advance decays the demand and adds the minimum shares since the last call.
func (d *demand) advance(now time.Time, p *Plan) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	d.updatedAt = now
	decay := math.Exp(-elapsed / demandTime.Seconds())
	refill := d.minShare() * p.Rate
	for i := range d.classes {
		c := &d.classes[i]
		if now.Sub(c.seenAt) > classTTL {
			*c = classDemand{}
			continue
		}
		c.offered *= decay
		c.credit = min(c.credit+refill*elapsed, max(c.largest, refill*maxCreditSeconds))
	}
}

// minShare is the share of the refill that each class keeps.
func (d *demand) minShare() float64 {
	classes := 0
	for i := range d.classes {
		if !d.classes[i].seenAt.IsZero() {
			classes++
		}
	}
	return minShares / float64(max(1, classes))
}

// before returns the units per second that the classes before this one ask for.
func (d *demand) before(i int) float64 {
	rate := 0.0
	for j := range d.classes[:i] {
		rate += d.classes[j].rate()
	}
	return rate
}

// refill returns the units per second that a class gets: what the classes before it leave of the
// refill, without the minimum shares of those after it, and no less than its own minimum share.
func (d *demand) refill(i int, p *Plan) float64 {
	share := d.minShare() * p.Rate
	after := 0.0
	for j := i + 1; j < len(d.classes); j++ {
		if !d.classes[j].seenAt.IsZero() {
			after += share
		}
	}
	return max(p.Rate-d.before(i)-after, share)
}

// required returns the units that the bucket must hold, with its overdraft, for a request of a class:
// its own units and the headroom, which is what the classes before it ask for within headroomTime and
// the unused minimum shares of those after it. Units that these classes don't use fill the bucket above
// the headroom and are granted to the next class. Under a shortage each request of a class requires as
// much as the largest of them, so that the smaller ones don't pass those that came before.
func (d *demand) required(i int, need float64, p *Plan) float64 {
	units := 0.0
	for j := range d.classes[:i] {
		c := &d.classes[j]
		units += min(c.rate(), p.Rate)*headroomTime.Seconds() + c.burst(p)
	}
	for j := i + 1; j < len(d.classes); j++ {
		units += d.classes[j].credit
	}
	most := p.Depth * maxHeadroomShare
	shortage := d.shortage(p)
	return max(need, shortage*d.classes[i].burst(p)) + shortage*units*most/(units+most)
}

// shortage returns how far the demand of all classes exceeds noShortageShare of the refill, from 0
// to 1 where it needs the whole refill.
func (d *demand) shortage(p *Plan) float64 {
	used := d.before(len(d.classes)) / p.Rate
	return min(1, max(0, (used-noShortageShare)/(1-noShortageShare)))
}

// grant counts granted units against the minimum share of their class.
func (d *demand) grant(i int, units float64) {
	d.classes[i].credit = max(0, d.classes[i].credit-units)
}
