// Package boxlist reads the platform's lagging list of boxes.
package boxlist

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/httpcall"
	"sandbarrow.example/sandbarrow/internal/refusallog"
	"sandbarrow.example/sandbarrow/internal/response"
)

const (
	// callTimeout bounds one read of the list.
	callTimeout = time.Second
	// maxListBytes bounds the list.
	maxListBytes = 4 << 20
	// maxRowKeyBytes is how much of a refused row tells it from others in the log.
	maxRowKeyBytes = 100
)

// HTTP reads the platform's list of boxes over HTTP.
type HTTP struct {
	client   *http.Client
	refusals *refusallog.Log
	url      string
}

// NewHTTP returns a reader of the list at a URL.
func NewHTTP(url string, logger *slog.Logger) *HTTP {
	return &HTTP{refusals: refusallog.New(logger), client: &http.Client{Timeout: callTimeout, Transport: response.NewTransport(&http.Transport{MaxResponseHeaderBytes: httpcall.MaxHeaderBytes}, &net.Dialer{})}, url: url}
}

// Boxes reads the list. A row that describes no box, which another writer may have left there, is left out.
func (l *HTTP) Boxes(ctx context.Context) ([]sandbarrow.Box, error) {
	response, err := httpcall.Do(ctx, l.client, httpcall.Call{Limit: maxListBytes, Method: http.MethodGet, URL: l.url})
	if err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("box list: status %d", response.Status)
	}
	rows, err := splitRows(response.Body)
	if err != nil {
		return nil, errors.Annotate(err, "box list")
	}
	var boxes []sandbarrow.Box
	for _, text := range rows {
		b, err := parseRow(text)
		if err != nil {
			l.refusals.Warn("row of the box list refused", string(text[:min(len(text), maxRowKeyBytes)]), err)
			continue
		}
		boxes = append(boxes, b)
	}
	return boxes, nil
}

// parseRow parses one row.
func parseRow(text []byte) (sandbarrow.Box, error) {
	var b sandbarrow.Box
	if err := json.Unmarshal(text, &b); err != nil {
		return b, errors.NewNotValid(err, "row")
	}
	if b.ID == "" {
		return b, errors.NotValidf("row without an id")
	}
	return b, nil
}
