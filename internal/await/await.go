// Package await lets tests wait for what comes about by itself.
package await

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// lookPause is the pause between looks.
const lookPause = 3 * time.Millisecond

// Until waits until check holds, and ends the test when it does not within a time.
func Until(t testing.TB, within time.Duration, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(within), poll.WithDelay(lookPause))
}
