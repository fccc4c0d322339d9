package quota

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	core "skylarkhinge.dev/skylarkhinge/core/quota"
)

// Path is the HTTP path of requests for tokens.
const Path = "/quota"

// Transport carries requests to other proxies.
type Transport interface {
	// Ask sends a request to the proxy with an address and returns its answer.
	Ask(ctx context.Context, address string, request *core.Request) (core.Answer, error)
}

const (
	// idleTimeout is how long an unused connection to a limiter is kept. Connections of a
	// fleet of thousands would otherwise use up the descriptors of a limiter.
	idleTimeout = 5 * time.Second
	// idleConnsPerPeer is the number of unused connections kept for a proxy.
	idleConnsPerPeer = 2
	// maxBodyBytes bounds the bodies of requests and answers.
	maxBodyBytes = 1 << 20
)

// HTTPTransport is a Transport over HTTP.
type HTTPTransport struct{ client *http.Client }

// NewHTTPTransport returns a transport. The context of a call bounds its time.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{&http.Client{Transport: &http.Transport{
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idleConnsPerPeer, DisableCompression: true,
	}}}
}

// Ask implements Transport. The error names the step and the peer.
func (t *HTTPTransport) Ask(ctx context.Context, address string, request *core.Request) (core.Answer, error) {
	fail := oops.With("step", "ask_limiter", "peer", address)
	text, err := json.Marshal(encodeRequest(request))
	if err != nil {
		return core.Answer{}, fail.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(text))
	if err != nil {
		return core.Answer{}, fail.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(r)
	if err != nil {
		return core.Answer{}, fail.Wrap(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return core.Answer{}, fail.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return core.Answer{}, fail.Errorf("status %d", response.StatusCode)
	}
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return core.Answer{}, fail.Wrap(err)
	}
	return body.decode(), nil
}
