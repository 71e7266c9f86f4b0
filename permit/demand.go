package permit

import (
	"math"
	"time"
)

// timeDivisor is the part of the difference by which a request of a caller with little time lowers the
// time of a demand. Some have used up their time elsewhere.
const timeDivisor = 16

// demand is the work that requests have asked an upstream for. It tells a burst, which the upstream works
// off in the time that callers have, from a lasting overload. The zero value is for no demand.
type demand struct {
	// time is the time that callers have, with which work decays.
	time time.Duration
	// work is the decayed service time of the requests, granted or not.
	work      time.Duration
	updatedAt time.Time
}

// add adds a request that takes a service time and whose caller has so much time left.
func (d *demand) add(now time.Time, service, left time.Duration) {
	d.work = d.recent(now) + service
	d.updatedAt = now
	d.time = max(left, d.time-(d.time-max(left, 0))/timeDivisor)
}

// recent returns the work that was asked for within about the time that callers have.
func (d *demand) recent(now time.Time) time.Duration {
	if d.time <= 0 {
		return 0
	}
	return time.Duration(float64(d.work) * math.Exp(-float64(now.Sub(d.updatedAt))/float64(d.time)))
}

// exceeds reports whether more work is asked for than this many slots do in the time that callers have.
func (d *demand) exceeds(now time.Time, slots int) bool {
	return d.recent(now) > time.Duration(slots)*d.time
}
