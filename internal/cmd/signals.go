package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalError is the cause with which a signal ends a command's context.
type signalError struct {
	signal os.Signal
}

// Error returns the name of the signal.
func (e signalError) Error() string { return "signal " + e.signal.String() }

// notifyContext returns a context that ends with the first SIGINT or SIGTERM, which is then its cause.
func notifyContext() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			cancel(signalError{s})
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel(context.Canceled)
	}
}
