// Package origin keeps at which service and software version streams began, and decides where they
// may go on. What two software versions write for one request doesn't fit together, and upstreams
// don't check it.
//
// The package owns the records of one process. They are bounded (maxOrigins) and expire with the
// deadlines of their streams. It relies on gateways for which software an upstream runs, and for
// carrying records to the processes that keep them.
package origin

import "sandbarrow.example/sandbarrow"

// Origin is where a stream began.
type Origin struct {
	Service sandbarrow.ServiceID
	// Software is empty if it is not known for certain. The stream may not go on then.
	Software sandbarrow.SoftwareVersion
}

// Allows decides whether a stream may go on at an upstream of a service that runs a software
// version, which is empty if it is not known for certain.
func (o *Origin) Allows(service sandbarrow.ServiceID, running sandbarrow.SoftwareVersion) bool {
	return o.Service == service && o.Software.Matches(running)
}
