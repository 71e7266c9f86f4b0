package gateway

import "sandbarrow.example/sandbarrow/crash"

// fingerprint identifies the content of the request and its workspace: the route's host, method,
// target and body, the headers for the model, the prompt and its tokens, and the workspace of the
// key. Values that differ between retries are left out: the id, the deadline and the last event.
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
