package httpcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDoDistinguishesNotSentFromUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/truncated":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		case "/aborted":
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Echo", r.Method+" "+r.Header.Get("Extra"))
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write([]byte("answer"))
		}
	}))
	defer server.Close()

	t.Run("complete response", func(t *testing.T) {
		response, err := Do(context.Background(), server.Client(), Call{
			Body: []byte("x"), Header: http.Header{"Extra": {"h"}}, Limit: 6, Method: http.MethodPut, URL: server.URL,
		})
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusTeapot)
		assert.Equal(t, string(response.Body), "answer")
		assert.Equal(t, response.Header.Get("Echo"), "PUT h")
	})
	t.Run("too large body", func(t *testing.T) {
		response, err := Do(context.Background(), server.Client(), Call{Limit: 5, Method: http.MethodPut, URL: server.URL})
		assert.ErrorIs(t, err, ErrTooLarge)
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, response.Status, http.StatusTeapot)
		assert.Equal(t, len(response.Body), 0)
	})
	t.Run("truncated body", func(t *testing.T) {
		response, err := Do(context.Background(), server.Client(), Call{Limit: 10, Method: http.MethodGet, URL: server.URL + "/truncated"})
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, response.Status, http.StatusOK)
	})
	t.Run("no response", func(t *testing.T) {
		response, err := Do(context.Background(), server.Client(), Call{Method: http.MethodPost, URL: server.URL + "/aborted"})
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, response.Status, 0)
	})
	t.Run("not sent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		_, err = Do(context.Background(), server.Client(), Call{Method: http.MethodGet, URL: "http://" + address})
		assert.ErrorIs(t, err, ErrNotSent)
	})
}
