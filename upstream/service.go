package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/httpcall"
	"sandbarrow.example/sandbarrow/internal/response"
)

// Service is a client for a plain service. It has no adapters.
type Service struct {
	baseURL  string
	client   *http.Client
	observer sandbarrow.SendObserver
}

// NewService returns a client for the service at a base URL. It reports the responses to o. It
// opens a connection for each call: if a call on a reused connection is lost, it is unknown
// whether it ran.
func NewService(baseURL string, o sandbarrow.SendObserver) *Service {
	return &Service{baseURL: baseURL, observer: o, client: &http.Client{Transport: response.NewTransport(&http.Transport{
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: httpcall.MaxHeaderBytes,
	}, &net.Dialer{})}}
}

// Run makes one call. Every HTTP status counts as a response of the service.
func (s *Service) Run(ctx context.Context, j sandbarrow.Job, sink sandbarrow.Sink) error {
	req, err := newRequest(ctx, j.Method, s.baseURL+j.Path, bytes.NewReader(j.Body), len(j.Body))
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
	return relayResponse(resp, sink)
}

// State reports that nothing is loaded.
func (s *Service) State(context.Context) (sandbarrow.UpstreamState, error) {
	return sandbarrow.UpstreamState{}, nil
}
