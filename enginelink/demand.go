package enginelink

import "sandbarrow.example/sandbarrow"

const (
	// MethodPreload asks a gateway which adapters the controller's engine should load before they
	// are requested; a call of the controller.
	MethodPreload = "demand.preload"
	// MethodReportDemand reports to a controller how often adapters were requested.
	MethodReportDemand = "demand.report"
)

// AdapterRequests is the number of requests for an adapter.
type AdapterRequests struct {
	Adapter  sandbarrow.AdapterID   `json:"a"`
	Model    sandbarrow.BaseModelID `json:"m"`
	Requests int                    `json:"n"`
}

// ReportDemand holds the requests that a gateway got since its last report, for the engines of the
// controller's service.
type ReportDemand struct {
	Adapters []AdapterRequests `json:"adapters"`
	// First says that the controller ranks first among those that get the reports. It keeps the
	// demand in the store.
	First bool `json:"first,omitempty"`
}

// Preload asks which adapters an engine that came back empty should load.
type Preload struct {
	// Adapters are the adapters that the engine would load next.
	Adapters []sandbarrow.AdapterKey `json:"adapters,omitempty"`
	Service  sandbarrow.ServiceID    `json:"service"`
}

// PreloadReply is the reply to a Preload.
type PreloadReply struct {
	// Engines are the addresses of the controllers whose engines are up.
	Engines []string `json:"engines"`
	// Later says that nothing is decided now: requests wait for as many loads as there are engines,
	// and preloads would only delay them at the weight store.
	Later bool `json:"later,omitempty"`
	// Load holds the indexes of the adapters to load: no other engine has or loads them.
	Load []int `json:"load,omitempty"`
	// Self is the address of the asking controller, in the form used in Engines. It is empty if the
	// gateway can't decide yet.
	Self string `json:"self"`
}
