package cmd

import (
	"context"
	"log/slog"
	"os"

	"sandbarrow.example/sandbarrow/settings"
)

// reloadLoop reads and validates the settings file on each hang-up and logs the result, until ctx ends.
// The process keeps the settings it started with; new ones take effect at the next start.
func reloadLoop(ctx context.Context, l *slog.Logger, file string, hangups <-chan os.Signal) {
	for {
		select {
		case <-hangups:
			if _, err := settings.Load(file); err != nil {
				l.Error("settings refused, the last ones stay", "settings", file, "error", err.Error())
				continue
			}
			l.Info("settings read again", "settings", file)
		case <-ctx.Done():
			return
		}
	}
}
