package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/route"
)

func TestPermissionToSend(t *testing.T) {
	safe := &route.Route{Kind: route.KindSafe, MaxAttempts: 2}
	unsafe := &route.Route{Kind: route.KindUnsafe, MaxAttempts: 2}
	resumable := &route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true}
	stream := &route.Route{Kind: route.KindStream, MaxAttempts: 2}
	for name, tc := range map[string]struct {
		sent, ran int
		route     *route.Route
		want      permission
	}{
		"first":                                {0, 0, unsafe, sendFree},
		"not run, may not run twice":           {1, 0, unsafe, sendBudgeted},
		"not run, at the maximum of the route": {2, 0, unsafe, sendBudgeted},
		"not run, above the maximum":           {3, 0, unsafe, sendNever},
		"may have run, may not run twice":      {1, 1, unsafe, sendNever},
		"may have run, may run twice":          {1, 1, safe, sendBudgeted},
		"may have run as often as allowed":     {2, 2, safe, sendNever},
		"a resumable stream":                   {1, 1, resumable, sendBudgeted},
		"a stream that is not resumable":       {1, 1, stream, sendNever},
	} {
		assert.Equal(t, permissionToSend(&attempts{sent: tc.sent, ran: tc.ran}, tc.route), tc.want, name)
	}
}

func TestAfterAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		attemptResult         attemptResult
		committed, repeatable bool
		next                  nextStep
		mayHaveRun            bool
		why                   reason
	}{
		"answered":               {resultAnswered, true, true, stepDone, false, ""},
		"not run":                {resultNotRun, false, false, stepRetry, false, reasonRefused},
		"not sent":               {resultNotSent, false, false, stepRetry, false, reasonNoUpstream},
		"failed, repeatable":     {resultFailed, false, true, stepRetry, true, reasonBroken},
		"failed, not repeatable": {resultFailed, false, false, stepPassFailure, true, reasonBroken},
		"broken before the response, not repeatable": {resultBroken, false, false, stepRetry, true, reasonBroken},
		"broken within the response, repeatable":     {resultBroken, true, true, stepRetry, true, reasonBroken},
		"broken within the response, not repeatable": {resultBroken, true, false, stepAbort, true, reasonBroken},
		"broken before the response, repeatable":     {resultBroken, false, true, stepRetry, true, reasonBroken},
	} {
		next, mayHaveRun, why := afterAttempt(tc.attemptResult, tc.committed, tc.repeatable)
		assert.Equal(t, next, tc.next, name)
		assert.Equal(t, mayHaveRun, tc.mayHaveRun, name)
		assert.Equal(t, why, tc.why, name)
	}
}

// A 503 guarantees that the request did not run.
func TestEndStatus(t *testing.T) {
	for name, tc := range map[string]struct {
		ran    int
		late   bool
		status int
		why    reason
	}{
		"never ran":              {0, false, http.StatusServiceUnavailable, reasonSlots},
		"never ran, late":        {0, true, http.StatusServiceUnavailable, reasonSlots},
		"may have run":           {1, false, http.StatusBadGateway, reasonSlots},
		"may have run, and late": {1, true, http.StatusGatewayTimeout, reasonDeadline},
	} {
		status, why := endStatus(tc.ran, tc.late, reasonSlots)
		assert.Equal(t, status, tc.status, name)
		assert.Equal(t, why, tc.why, name)
	}
}
