package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStopOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		status         int
		why            reason
		written, ended bool
		phase          upstreamPhase
		want           stopOutcome
	}{
		"a complete response":                       {http.StatusOK, "", true, false, phaseResponded, stopFinished},
		"an error of the upstream":                  {http.StatusInternalServerError, "", true, true, phaseResponded, stopFinished},
		"a response that could not be written":      {http.StatusOK, "", false, false, phaseResponded, stopLeft},
		"the same as the connections were closed":   {http.StatusOK, "", false, true, phaseResponded, stopCut},
		"a caller that left":                        {0, reasonCallerLeft, true, false, phaseWaiting, stopLeft},
		"a connection closed at the end":            {0, reasonCallerLeft, true, true, phaseWaiting, stopCut},
		"a stream that ended with the stop":         {0, reasonBroken, true, true, phaseResponding, stopCut},
		"a stream that ended with its upstream":     {0, reasonBroken, true, false, phaseResponding, stopFailed},
		"an upstream that failed":                   {http.StatusBadGateway, reasonBroken, true, false, phaseWaiting, stopFailed},
		"a deadline":                                {http.StatusGatewayTimeout, reasonDeadline, true, false, phaseWaiting, stopFailed},
		"a request that ran at the end of the stop": {http.StatusGatewayTimeout, reasonStopping, true, true, phaseWaiting, stopCut},
		"a request that no longer fits":             {http.StatusServiceUnavailable, reasonStopping, true, false, phaseNotSent, stopRefused},
		"a request that waited until the end":       {http.StatusServiceUnavailable, reasonStopping, true, true, phaseNotSent, stopRefused},
		"no route":                                  {http.StatusNotFound, reasonNoRoute, true, false, phaseNotSent, stopRefused},
	} {
		assert.Equal(t, stopOutcomeOf(tc.status, tc.why, tc.written, tc.ended, tc.phase), tc.want, name)
	}
}
