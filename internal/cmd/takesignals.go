package cmd

import (
	"os/signal"
	"syscall"
)

// ignoreBrokenOutput makes writes to a standard output or error whose reader is gone fail. The Go
// runtime otherwise ends the process at such a write. Long-running processes call it first: the requests
// of their callers matter more than their log.
func ignoreBrokenOutput() {
	signal.Ignore(syscall.SIGPIPE)
}
