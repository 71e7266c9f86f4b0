package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/readbudget"
)

// Engine is a client for a model engine with the OpenAI API and the widely used endpoints to load
// and unload LoRA adapters.
type Engine struct {
	baseURL  string
	client   *http.Client
	observer sandbarrow.SendObserver
}

// NewEngine returns a client for the engine at a base URL. It reports the responses to runs to o.
func NewEngine(baseURL string, maxRunning int, o sandbarrow.SendObserver) *Engine {
	return &Engine{baseURL: baseURL, client: newClient(maxRunning + 8), observer: o}
}

// Load orders the engine to load an adapter version.
func (e *Engine) Load(ctx context.Context, o sandbarrow.Order) error {
	return e.order(ctx, "/v1/load_lora_adapter", o)
}

// Run runs a job and writes its complete response to the sink.
func (e *Engine) Run(ctx context.Context, j sandbarrow.Job, s sandbarrow.Sink) error {
	body, err := rewriteBody(j)
	if err != nil {
		return err
	}
	req, err := newRequest(ctx, http.MethodPost, e.baseURL+j.Path, bytes.NewReader(body), len(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(requestIDHeader, string(j.ID))
	resp, err := do(e.client, req, e.observer)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return errors.Annotate(sandbarrow.ErrUpstreamNotLoaded, readError(resp))
	case resp.StatusCode == http.StatusTooManyRequests:
		return errors.Annotate(sandbarrow.ErrUpstreamRefused, readError(resp))
	case resp.StatusCode >= http.StatusInternalServerError:
		return errors.Annotatef(sandbarrow.ErrUpstreamUnknown, "status %d: %s", resp.StatusCode, readError(resp))
	case resp.StatusCode != http.StatusOK:
		return relayResponse(resp, s)
	case j.Stream:
		return e.runStream(ctx, j, resp, s)
	}
	return e.runUnary(j, resp, s)
}

// State reads the loaded adapters and the ID of the engine's last start.
func (e *Engine) State(ctx context.Context) (sandbarrow.UpstreamState, error) {
	state := sandbarrow.UpstreamState{Loaded: map[sandbarrow.ModelRef]int{}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/models", nil)
	if err != nil {
		return state, errors.Annotate(sandbarrow.ErrUpstreamRefused, err.Error())
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return state, transportError(err)
	}
	defer resp.Body.Close()
	var list struct {
		Data []struct {
			ID      string `json:"id"`
			Running int    `json:"running"`
		} `json:"data"`
		Start string `json:"start"`
	}
	body, err := readBody(resp)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return state, errors.Annotate(sandbarrow.ErrUpstreamBroken, err.Error())
	}
	state.Start = list.Start
	for _, m := range list.Data {
		// The base model is listed too, by its name without a version. It is not an adapter.
		if ref, err := sandbarrow.ParseModelRef(m.ID); err == nil {
			state.Loaded[ref] = m.Running
		}
	}
	return state, nil
}

// Unload orders the engine to free an adapter's slot.
func (e *Engine) Unload(ctx context.Context, o sandbarrow.Order) error {
	return e.order(ctx, "/v1/unload_lora_adapter", o)
}

func (e *Engine) order(ctx context.Context, path string, o sandbarrow.Order) error {
	body, err := json.Marshal(map[string]any{
		"fencing_token": o.Token,
		"lora_name":     o.Model.String(),
		"lora_path":     o.Weights,
	})
	if err != nil {
		return errors.Trace(err)
	}
	req, err := newRequest(ctx, http.MethodPost, e.baseURL+path, bytes.NewReader(body), len(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.Annotatef(sandbarrow.ErrUpstreamNotLoaded, "order %s", o.Model)
	case http.StatusPreconditionFailed:
		return errors.Annotatef(sandbarrow.ErrUpstreamFenced, "order %s token %d", o.Model, o.Token)
	case http.StatusConflict, http.StatusTooManyRequests:
		return errors.Annotatef(sandbarrow.ErrUpstreamRefused, "order %s: status %d: %s", o.Model, resp.StatusCode, readError(resp))
	}
	return errors.Annotatef(sandbarrow.ErrUpstreamUnknown, "order %s: status %d: %s", o.Model, resp.StatusCode, readError(resp))
}

func (e *Engine) runUnary(j sandbarrow.Job, resp *http.Response, s sandbarrow.Sink) error {
	body, err := readBody(resp)
	if err != nil {
		return err
	}
	if err := checkModel(body, j.Model); err != nil {
		return err
	}
	return writeResponse(resp, body, s)
}

// relayResponse writes a response to the sink without checking its content.
func relayResponse(resp *http.Response, s sandbarrow.Sink) error {
	body, err := readBody(resp)
	if err != nil {
		return err
	}
	return writeResponse(resp, body, s)
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := readbudget.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.Annotatef(sandbarrow.ErrUpstreamBroken, "response not read: %v", err)
	}
	return body, nil
}

func writeResponse(resp *http.Response, body []byte, s sandbarrow.Sink) error {
	if err := s.Begin(sandbarrow.ResponseHeader{ContentType: resp.Header.Get("Content-Type"), Status: resp.StatusCode}); err != nil {
		return err
	}
	_, err := s.Write(body)
	return err
}

// rewriteBody sets the model version and the priority in the body.
func rewriteBody(j sandbarrow.Job) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(j.Body, &fields); err != nil {
		return nil, errors.Annotatef(sandbarrow.ErrUpstreamRefused, "body: %v", err)
	}
	fields["model"] = json.RawMessage(strconv.Quote(j.Model.String()))
	fields["priority"] = json.RawMessage(strconv.Itoa(j.Priority))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Annotatef(sandbarrow.ErrUpstreamRefused, "body: %v", err)
	}
	return body, nil
}

func checkModel(body []byte, want sandbarrow.ModelRef) error {
	if bytes.Contains(body, []byte(`"model":`+strconv.Quote(want.String()))) {
		return nil
	}
	var head struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return errors.Annotate(sandbarrow.ErrUpstreamBroken, err.Error())
	}
	if head.Model != want.String() {
		return errors.Annotatef(sandbarrow.ErrUpstreamBroken, "response from model %q, want %s", head.Model, want)
	}
	return nil
}
