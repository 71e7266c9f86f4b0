// Package boxlist reads the platform's lagging list of boxes.
package boxlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/httpcall"
)

const (
	// callTimeout bounds one read of the list.
	callTimeout = time.Second
	// maxListBytes bounds the list.
	maxListBytes = 4 << 20
)

// HTTP reads the platform's list of boxes over HTTP.
type HTTP struct {
	client *http.Client
	url    string
}

// NewHTTP returns a reader of the list at a URL.
func NewHTTP(url string) *HTTP {
	return &HTTP{client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: httpcall.MaxHeaderBytes}}, url: url}
}

// Boxes reads the list.
func (l *HTTP) Boxes(ctx context.Context) ([]sandbarrow.Box, error) {
	response, err := httpcall.Do(ctx, l.client, httpcall.Call{Limit: maxListBytes, Method: http.MethodGet, URL: l.url})
	if err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("box list: status %d", response.Status)
	}
	var boxes []sandbarrow.Box
	if err := json.Unmarshal(response.Body, &boxes); err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	return boxes, nil
}
