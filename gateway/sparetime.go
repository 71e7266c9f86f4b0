package gateway

import "time"

// spareTime returns for how long a request may wait before its work begins: its work, as learnt, must end
// in the time that is left. It is 0 if the work takes all of that.
//
// Inputs: the time until the request's deadline; how long requests of its route take from the moment they
// are sent, if known is set; and by how many mean deviations its own work may take longer.
func spareTime(left time.Duration, work durationEstimate, known bool, deviations int) time.Duration {
	if !known {
		return max(0, left-minSendTime)
	}
	return max(0, left-max(minSendTime, work.within(deviations)))
}

// spareTime returns for how long the call may wait before its work begins. The caller of a stream must also
// get its first event before it gives the stream up.
func (c *call) spareTime(deviations int) time.Duration {
	work, known := c.gateway.workTimes.usual(c.route.Name)
	spare := spareTime(c.timeLeft(), work, known, deviations)
	if patience := c.route.StreamPatience(); patience > 0 && !c.committed {
		start, known := c.gateway.startTimes.usual(c.route.Name)
		spare = min(spare, spareTime(patience-c.elapsed(), start, known, deviations))
	}
	return spare
}

// minAcquireWait is how long a request waits at an engine at least. A controller begins a load into a free
// slot within that time, so that a request whose work takes most of its time finds the room there is.
const minAcquireWait = 100 * time.Millisecond

// acquireWait decides how long a request waits for a slot at an engine: an equal part of the time that it
// can spare for this engine and for each that it may still try. An engine that frees no slot thus leaves
// time for the others, and the last one gets all of it.
//
// Inputs: the time that the request can spare, the engines at which it has waited, and the other engines
// that could serve it now.
func acquireWait(spare time.Duration, acquires, others int) time.Duration {
	more := min(maxAcquires-acquires-1, others)
	return max(minAcquireWait, spare/time.Duration(1+max(0, more)))
}
