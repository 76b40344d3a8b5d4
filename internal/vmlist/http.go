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
)

// Limits of the HTTP client.
const (
	callTimeout   = 5 * time.Second
	maxReplyBytes = 16 << 20
)

// HTTPClient is the VM list reached through HTTPClient.
type HTTPClient struct {
	url    string
	client *http.Client
}

var _ Lister = (*HTTPClient)(nil)

// Reply is the JSON document of the list.
type Reply struct {
	VMs  []VM  `json:"vms"`
	AsOf int64 `json:"as_of"` // Unix time in milliseconds
}

// NewHTTPClient returns the VM list at a base URL. The client may be nil.
func NewHTTPClient(baseURL string, client *http.Client) *HTTPClient {
	if client == nil {
		client = &http.Client{}
	}
	return &HTTPClient{url: strings.TrimSuffix(baseURL, "/") + "/vms", client: client}
}

// VMs reads the list.
func (h *HTTPClient) VMs(ctx context.Context) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.get(ctx)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Snapshot{VMs: reply.VMs, AsOf: time.UnixMilli(reply.AsOf)}, nil
}

func (h *HTTPClient) get(ctx context.Context) (Reply, error) {
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
		return reply, errors.Wrap(err, "reply is not whole")
	}
	if reply.AsOf == 0 {
		return reply, errors.New("reply names no time")
	}
	return reply, nil
}
