package cmd

import (
	"os"
	"os/signal"
	"syscall"
)

// takeSignals makes a long-running process outlive what others do to it. It is called first.
//
// Writes to a standard output or error whose reader is gone fail; the Go runtime otherwise ends the
// process at such a write. A hang-up, which says that the settings file has changed, is sent to the
// returned channel; it otherwise ends the process.
func takeSignals() (hangups <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE)
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
