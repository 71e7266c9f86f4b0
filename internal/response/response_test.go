package response

import (
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckHead(t *testing.T) {
	sound := func(change func(*http.Response)) *http.Response {
		r := &http.Response{Header: http.Header{"Id": {"1"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, StatusCode: 200}
		change(r)
		return r
	}
	for name, tc := range map[string]struct {
		change func(*http.Response)
		valid  bool
	}{
		"sound":                         {func(*http.Response) {}, true},
		"informational":                 {func(r *http.Response) { r.StatusCode = 103 }, true},
		"failure":                       {func(r *http.Response) { r.StatusCode = 599 }, true},
		"HTTP/1.0":                      {func(r *http.Response) { r.ProtoMinor = 0 }, true},
		"later minor version":           {func(r *http.Response) { r.ProtoMinor = 7 }, true},
		"other version":                 {func(r *http.Response) { r.ProtoMajor = 3 }, false},
		"status 000":                    {func(r *http.Response) { r.StatusCode = 0 }, false},
		"status 099":                    {func(r *http.Response) { r.StatusCode = 99 }, false},
		"status 600":                    {func(r *http.Response) { r.StatusCode = 600 }, false},
		"upgrade":                       {func(r *http.Response) { r.StatusCode = 101 }, false},
		"blank after a name":            {func(r *http.Response) { r.Header["Content-Length "] = []string{"4"} }, false},
		"blank within a name":           {func(r *http.Response) { r.Header["X Trouble"] = []string{"1"} }, false},
		"control byte in a name":        {func(r *http.Response) { r.Header["X\x01"] = []string{"1"} }, false},
		"empty name":                    {func(r *http.Response) { r.Header[""] = []string{"1"} }, false},
		"control byte in a value":       {func(r *http.Response) { r.Header["X"] = []string{"a\x00b"} }, false},
		"tab and other text in a value": {func(r *http.Response) { r.Header["X"] = []string{"a\tb\xe9"} }, true},
	} {
		err := CheckHead(sound(tc.change))
		if tc.valid {
			assert.NilError(t, err, name)
		} else {
			assert.ErrorIs(t, err, ErrInvalid, name)
		}
	}
}

func TestCheckTrailer(t *testing.T) {
	assert.NilError(t, CheckTrailer(&http.Response{}))
	assert.NilError(t, CheckTrailer(&http.Response{Trailer: http.Header{"A": {"b"}}}))
	assert.ErrorIs(t, CheckTrailer(&http.Response{Trailer: http.Header{"A b": {"c"}}}), ErrInvalid)
}

func TestCheckSingle(t *testing.T) {
	assert.NilError(t, CheckSingle(http.Header{}, "Id"))
	assert.NilError(t, CheckSingle(http.Header{"Id": {"1", "1"}}, "Id"))
	assert.ErrorIs(t, CheckSingle(http.Header{"Id": {"1", "2"}}, "Id"), ErrInvalid)
}

func TestIsReset(t *testing.T) {
	const open = 8 // TCP_CLOSE_WAIT
	for name, tc := range map[string]struct {
		state uint8
		first error
		want  bool
	}{
		"ended in order":                       {open, nil, false},
		"reset, nobody has recorded the error": {stateClosed, nil, true},
		"reset, a write got the error":         {stateClosed, syscall.ECONNRESET, true},
		"reset after the end":                  {stateClosed, syscall.EPIPE, false},
		"unknown state":                        {0, nil, false},
		"unknown state, a write got the error": {0, syscall.ECONNRESET, true},
		"closed by a time-out":                 {stateClosed, syscall.ETIMEDOUT, true},
	} {
		assert.Equal(t, isReset(tc.state, tc.first), tc.want, name)
	}
}
