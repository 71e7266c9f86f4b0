// Package listening finds out whether a process listens at an address. It owns nothing.
package listening

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// State is what a dial shows of an address.
type State int

// The states of an address.
const (
	// Unknown means that no answer came, which says nothing.
	Unknown State = iota
	// Listens means that something listens there.
	Listens
	// Refuses means that nothing does.
	Refuses
)

// Dial dials a TCP address once and closes the connection.
func Dial(ctx context.Context, address string, timeout time.Duration) State {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	}
	return Unknown
}
