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

// callTimeout bounds one read of the list.
const callTimeout = time.Second

// HTTP is the platform's list of boxes over HTTP.
type HTTP struct {
	client *http.Client
	url    string
}

// NewHTTP returns a list at a URL.
func NewHTTP(url string) *HTTP {
	return &HTTP{client: &http.Client{Timeout: callTimeout}, url: url}
}

// Boxes reads the list.
func (l *HTTP) Boxes(ctx context.Context) ([]sandbarrow.Box, error) {
	a, err := httpcall.Do(ctx, l.client, httpcall.Call{Method: http.MethodGet, URL: l.url})
	if err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("box list: status %d", a.Status)
	}
	var boxes []sandbarrow.Box
	if err := json.Unmarshal(a.Body, &boxes); err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	return boxes, nil
}
