// Package availability keeps one process's view of each upstream. It decides whether a request may
// be sent to an upstream now, and otherwise when.
//
// It combines the list of upstreams, the reports of the controllers beside engines, the notices
// that upstreams put into their responses, the limits that they name (see package throttle) and the
// outcomes of the process's own requests. It stores notices, limits and outcomes by instance. Their
// number is bounded, and they expire. The package has no clock, lock or connection: its callers
// pass the time and serialize access.
package availability
