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

// Load is an engine's report of its load. It lags behind the actual load: AsOfMS
// is the time of the measurement, in Unix milliseconds on the engine's clock.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	AsOfMS  int64 `json:"as_of_ms"`
}

// Load fetches the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	_, err := c.callJSON(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// Inventory lists the models and adapters that an engine has loaded, the model
// versions and the engine's role.
type Inventory struct {
	Models   []ident.ModelID          `json:"models"`
	Adapters []ident.AdapterID        `json:"adapters"`
	Versions map[ident.ModelID]string `json:"versions"`
	Role     string                   `json:"role"`
}

// Inventory fetches the engine's inventory.
func (c *Client) Inventory(ctx context.Context) (Inventory, error) {
	var inventory Inventory
	_, err := c.callJSON(ctx, http.MethodGet, "/models", nil, &inventory)
	return inventory, err
}

// tokenizeRequest holds the fields of a chat request that POST /tokenize reads.
type tokenizeRequest struct {
	Model    ident.ModelID   `json:"model"`
	Messages json.RawMessage `json:"messages"`
}

// CountPromptTokens returns the number of prompt tokens of a chat request, given
// its JSON body, as counted by the engine's tokenizer.
func (c *Client) CountPromptTokens(ctx context.Context, body []byte) (int64, error) {
	var request tokenizeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 0, errors.Wrap(err, "decode chat request")
	}
	var reply struct {
		Count int64 `json:"count"`
	}
	if _, err := c.callJSON(ctx, http.MethodPost, "/tokenize", request, &reply); err != nil {
		return 0, err
	}
	if reply.Count < 0 {
		return 0, errors.Errorf("engine counted %d tokens", reply.Count)
	}
	return reply.Count, nil
}

// cancelStream stops a stream at the engine, even if ctx is already cancelled.
// Failures are only counted.
func (c *Client) cancelStream(ctx context.Context, id string) {
	ctx = context.WithoutCancel(ctx)
	if _, err := c.callJSON(ctx, http.MethodPost, "/streams/"+url.PathEscape(id)+"/cancel", nil, nil); err != nil {
		c.counts.Inc("cancel_failed")
	}
}

// OrderKind is the kind of an Order, as sent to the engine.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	SetRole     OrderKind = "set_role"
)

// Order tells an engine to load or unload something, or to change a model's
// version or its own role.
type Order struct {
	Kind    OrderKind       `json:"kind"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Adapter ident.AdapterID `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Role    string          `json:"role,omitempty"`
	// Fence is the fencing number: the incarnation of the side process that
	// sends the order. An engine that checks fencing numbers refuses an order
	// with a lower one than it has seen.
	Fence ident.Incarnation `json:"fence"`
}

// ErrFenced means that the engine has received orders from a newer incarnation
// of the side process.
var ErrFenced = errors.New("order has an old fencing number")

// SendOrder sends an order to the engine, without retries. It returns ErrFenced if
// the engine refuses the order's fencing number.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	status, err := c.callJSON(ctx, http.MethodPost, "/orders", order, nil)
	if status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// CacheEvent reports that a block was stored in or removed from the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`   // consecutive within an epoch
	Kind  string `json:"kind"`  // "stored" or "removed"
	Block uint64 `json:"block"` // hash of the prompt block
}

// CachePage is a reply of GET /cache/events.
type CachePage struct {
	Epoch  uint64       `json:"epoch"` // changes when the sequence numbers start over
	First  uint64       `json:"first"` // oldest sequence number that the engine still has
	Next   uint64       `json:"next"`  // sequence number to expect after Events
	Events []CacheEvent `json:"events"`
}

// CacheEvents fetches the cache events with a sequence number above after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CachePage, error) {
	var page CachePage
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	_, err := c.callJSON(ctx, http.MethodGet, path, nil, &page)
	return page, err
}
