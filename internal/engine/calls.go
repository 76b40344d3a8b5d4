package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Load is an engine's report of its load. It lags.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	AsOfMS  int64 `json:"as_of_ms"`
}

// Load asks for the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	_, err := c.call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// Inventory is what an engine has loaded.
type Inventory struct {
	Models   []ident.ModelID          `json:"models"`
	Adapters []ident.AdapterID        `json:"adapters"`
	Versions map[ident.ModelID]string `json:"versions"`
	Role     string                   `json:"role"`
}

// Inventory asks what the engine has loaded.
func (c *Client) Inventory(ctx context.Context) (Inventory, error) {
	var inventory Inventory
	_, err := c.call(ctx, http.MethodGet, "/models", nil, &inventory)
	return inventory, err
}

// tokenizeRequest is the part of a chat request that the tokenizer reads.
type tokenizeRequest struct {
	Model    ident.ModelID   `json:"model"`
	Messages json.RawMessage `json:"messages"`
}

// CountPromptTokens counts the prompt tokens of a chat request's body.
func (c *Client) CountPromptTokens(ctx context.Context, body []byte) (int64, error) {
	var request tokenizeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 0, errors.Wrap(err, "decode chat request")
	}
	var reply struct {
		Count int64 `json:"count"`
	}
	if _, err := c.call(ctx, http.MethodPost, "/tokenize", request, &reply); err != nil {
		return 0, err
	}
	if reply.Count < 0 {
		return 0, errors.Errorf("engine counted %d tokens", reply.Count)
	}
	return reply.Count, nil
}

// cancelStream stops a stream at the engine, also after ctx has ended.
func (c *Client) cancelStream(ctx context.Context, id string) {
	ctx = context.WithoutCancel(ctx)
	if _, err := c.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(id)+"/cancel", nil, nil); err != nil {
		c.counts.Inc("cancel_failed")
	}
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	SetRole     OrderKind = "set_role"
)

// Order changes what an engine has loaded or does.
type Order struct {
	Kind    OrderKind       `json:"kind"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Adapter ident.AdapterID `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Role    string          `json:"role,omitempty"`
	// Fence is the incarnation of the side process that gives the order. An
	// engine that checks fences refuses one lower than it has seen.
	Fence ident.Incarnation `json:"fence"`
}

// ErrFenced means that the engine has had orders from a later side process.
var ErrFenced = errors.New("order has an old fencing number")

// SendOrder sends an order to the engine once.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	status, err := c.call(ctx, http.MethodPost, "/orders", order, nil)
	if status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// CacheEvent tells that a block was stored in or removed from the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"` // "stored" or "removed"
	Block uint64 `json:"block"`
}

// CachePage is the reply to a poll of cache events.
type CachePage struct {
	Epoch  uint64       `json:"epoch"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents asks for the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CachePage, error) {
	var page CachePage
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	_, err := c.call(ctx, http.MethodGet, path, nil, &page)
	return page, err
}
