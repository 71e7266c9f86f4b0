// Package listening checks whether a process listens at a TCP address. It keeps no state.
package listening

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// State is the state of an address as a dial shows it.
type State int

// The states of an address.
const (
	// Unknown means that the dial got no reply. A process may or may not listen there.
	Unknown State = iota
	// Accepted means that the connection was accepted: a process listens there.
	Accepted
	// Refused means that the connection was refused: no process listens there.
	Refused
)

// Dial dials a TCP address once and closes the connection.
func Dial(ctx context.Context, address string, timeout time.Duration) State {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Unknown
}
