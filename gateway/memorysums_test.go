package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/heldbytes"
)

// Guards against bounds that hold for each response, but not for all that are in progress.
func TestBoundsTimesRequestsFitTheBox(t *testing.T) {
	assert.Assert(t, forward.UncountedBytes <= heldbytes.RequestBytes)
	for _, box := range []struct{ memoryMB, descriptors, links int }{
		{160, 4100, 52}, {184, 4100, 52}, {184, 4100, 600}, {216, 4096, 18}, {284, 4100, 18}, {536, 8192, 52},
	} {
		memory := int64(box.memoryMB) << 20
		budget := heldbytes.NewBudget(box.memoryMB)
		requests := int64(0)
		for budget.Acquire(heldbytes.RequestBytes, 0, heldbytes.NewWork) {
			budget.AddRequests(1)
			requests++
		}
		forNewWork := budget.Held()
		for budget.Acquire(4<<10, heldbytes.RequestBytes, heldbytes.Response) {
			continue
		}
		most := budget.Held()
		connections := int64(connectionBound(box.descriptors, box.memoryMB, box.links))
		assert.Check(t, most+connections*connectionBytes <= memory*7/10, "%d MiB: %d held, %d connections", box.memoryMB, most, connections)
		assert.Check(t, requests >= connections/2, "%d MiB: %d requests on %d connections", box.memoryMB, requests, connections)
		share := int64(0)
		for heldbytes.UseOfResponse(share+1, most, int(requests)) == heldbytes.Response {
			share++
		}
		assert.Check(t, share >= 4<<10 && share*requests+forNewWork <= most, "%d MiB: shares of %d bytes", box.memoryMB, share)
		alone := heldbytes.NewBudget(box.memoryMB)
		assert.Check(t, alone.Acquire(forward.BodyHoldFactor*maxResponseBytes, 0, heldbytes.LargeResponse), "%d MiB: the largest response", box.memoryMB)
		assert.Check(t, alone.Held() <= memory/4, "%d MiB: the largest response", box.memoryMB)
	}
}

func TestEndlessResponsesLeaveRoomForOthers(t *testing.T) {
	const requests = 500
	b := heldbytes.NewBudget(160)
	memories := make([]heldMemory, requests)
	for i := range memories {
		memories[i].budget = b
		b.AddRequests(1)
		assert.Assert(t, memories[i].acquire(heldbytes.RequestBytes))
	}
	ended := 0
	for left := requests; left > 0; {
		for i := range memories {
			if memories[i].budget == nil {
				continue
			}
			if memories[i].await(t.Context(), 8<<10) != nil {
				memories[i].budget = nil // its bytes stay held: the worst case
				ended++
				left--
			}
		}
	}
	assert.Equal(t, ended, requests)
	small, next := heldMemory{budget: b}, heldMemory{budget: b}
	assert.Assert(t, next.acquire(heldbytes.RequestBytes), "a new request is refused")
	assert.NilError(t, small.await(t.Context(), 1000))
}
