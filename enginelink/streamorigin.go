package enginelink

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/origin"
)

const (
	// MethodStreamBegan reports where a stream began, before its first event is passed on.
	MethodStreamBegan = "stream.began"
	// MethodFindStream asks where a stream began, or whether streams of a service began with other
	// software; a call.
	MethodFindStream = "stream.find"
)

// StreamBegan reports where a stream began.
type StreamBegan struct {
	// ID is the id of the caller's request that brought the first event.
	ID sandbarrow.RequestID `json:"id"`
	// LifetimeMS is for how many milliseconds the caller may still resume the stream.
	LifetimeMS int64                      `json:"ms"`
	Service    sandbarrow.ServiceID       `json:"service"`
	Software   sandbarrow.SoftwareVersion `json:"software"`
}

// FindStream asks where a stream began, or whether streams of a service began with other software.
type FindStream struct {
	// ID is empty if the caller has not named the request.
	ID sandbarrow.RequestID `json:"id,omitempty"`
	// Service and Software are those of which other streams are asked for; empty if ID is not.
	Service  sandbarrow.ServiceID       `json:"service,omitempty"`
	Software sandbarrow.SoftwareVersion `json:"software,omitempty"`
}

// StreamOrigin is the reply to a FindStream.
type StreamOrigin struct {
	// Known is false if the process has no record of the stream.
	Known bool `json:"known,omitempty"`
	// Others says that streams of the service began with other software than the one asked for.
	Others   bool                       `json:"others,omitempty"`
	Service  sandbarrow.ServiceID       `json:"service,omitempty"`
	Software sandbarrow.SoftwareVersion `json:"software,omitempty"`
}

// Origin returns the reply as an origin.
func (s *StreamOrigin) Origin() origin.Origin {
	return origin.Origin{Service: s.Service, Software: s.Software}
}
