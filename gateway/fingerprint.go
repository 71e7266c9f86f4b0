package gateway

import "sandbarrow.example/sandbarrow/crash"

// fingerprint identifies what the request asks for, and for whom: its route's host, method,
// target and body, what an engine must hold and read for it, and the workspace of its key.
// What differs between repeats stays out: the id, the deadline, the last event.
func (c *call) fingerprint() crash.Fingerprint {
	if c.digest != nil {
		return *c.digest
	}
	names := &c.gateway.config.Headers
	h := c.request.Header
	workspace := ""
	if c.workspace != nil {
		workspace = string(c.workspace.ID)
	}
	fingerprint := crash.NewFingerprint(
		[]byte(c.request.Method), []byte(c.request.Host), []byte(c.request.RequestURI), c.body,
		[]byte(h.Get(names.Model)), []byte(h.Get(names.Prompt)), []byte(h.Get(names.Tokens)), []byte(workspace),
	)
	c.digest = &fingerprint
	return fingerprint
}
