package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/httpclient"
)

// Limits of the HTTP client.
const (
	callTimeout   = 5 * time.Second
	maxReplyBytes = 16 << 20
)

// HTTPClient implements Lister over the platform's HTTP API.
type HTTPClient struct {
	url    string
	client *http.Client
}

var _ Lister = (*HTTPClient)(nil)

// Reply is the JSON document that the VM list returns.
type Reply struct {
	VMs  []VM  `json:"vms"`
	AsOf int64 `json:"as_of"` // Unix time in milliseconds
}

// NewHTTPClient returns a client of the VM list at a base URL. A nil client means one
// of package httpclient.
func NewHTTPClient(baseURL string, client *http.Client) *HTTPClient {
	if client == nil {
		client = httpclient.New()
	}
	return &HTTPClient{url: strings.TrimSuffix(baseURL, "/") + "/vms", client: client}
}

// VMs reads the list. All its errors match ErrUnavailable.
func (h *HTTPClient) VMs(ctx context.Context) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.fetch(ctx)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Snapshot{VMs: reply.VMs, AsOf: time.UnixMilli(reply.AsOf)}, nil
}

func (h *HTTPClient) fetch(ctx context.Context) (Reply, error) {
	var reply Reply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return reply, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.New(response.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, errors.Wrap(err, "reply is incomplete or malformed")
	}
	if reply.AsOf == 0 {
		return reply, errors.New("reply has no time")
	}
	return reply, nil
}
