package upstream

import (
	"bytes"
	"context"
	"net/http"

	"sandbarrow.example/sandbarrow"
)

// Service is a plain service. It has no adapters.
type Service struct {
	base     string
	client   *http.Client
	observer sandbarrow.SendObserver
}

// NewService returns the service at a base URL; o is told of its answers. It opens a connection for each
// call, since a call lost on a reused one can't be told from one that ran.
func NewService(base string, o sandbarrow.SendObserver) *Service {
	return &Service{base: base, observer: o, client: &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}}
}

// Run makes one call. Each status is an answer of the service.
func (s *Service) Run(ctx context.Context, j sandbarrow.Job, sink sandbarrow.Sink) error {
	req, err := newRequest(ctx, j.Method, s.base+j.Path, bytes.NewReader(j.Body), len(j.Body))
	if err != nil {
		return err
	}
	if j.ContentType != "" {
		req.Header.Set("Content-Type", j.ContentType)
	}
	req.Header.Set(requestIDHeader, string(j.ID))
	resp, err := do(s.client, req, s.observer)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	return relayWhole(resp, sink)
}

// State reports that nothing is loaded.
func (s *Service) State(context.Context) (sandbarrow.UpstreamState, error) {
	return sandbarrow.UpstreamState{}, nil
}
