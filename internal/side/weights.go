package side

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/ident"
)

const (
	weightsTimeout    = 5 * time.Minute // of one load, during which nothing may arrive
	weightsBackoffMin = time.Second
	weightsBackoffMax = time.Minute
)

// WeightsClient is the client of the platform's weight store. The store's rate limit
// holds for the whole fleet, so that a refusal is answered with full jitter:
// side processes that were refused together come back apart.
type WeightsClient struct {
	url    string
	client *http.Client
	counts *counter.Set
}

// NewWeightsClient returns a client of the weight store at a base URL.
func NewWeightsClient(baseURL string, client *http.Client) *WeightsClient {
	return &WeightsClient{
		url:    strings.TrimSuffix(baseURL, "/") + "/weights/",
		client: client,
		counts: counter.NewSet("weights"),
	}
}

// Acquire implements WeightStore.
func (w *WeightsClient) Acquire(ctx context.Context, model ident.ModelID) error {
	for attempt := 0; ; attempt++ {
		granted, least, err := w.ask(ctx, model)
		if granted {
			w.counts.Inc("granted")
			return nil
		}
		if err != nil {
			w.counts.Inc("failed")
		} else {
			w.counts.Inc("rate_limited")
		}
		pauseFor(ctx, backoff(attempt, least))
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "acquire weights")
		}
	}
}

// backoff returns a pause of at least the given length plus full jitter.
func backoff(attempt int, least time.Duration) time.Duration {
	limit := min(weightsBackoffMin<<min(attempt, 10), weightsBackoffMax)
	return least + rand.N(limit)
}

// ask makes one attempt. It returns how long the store wants to be left alone.
func (w *WeightsClient) ask(ctx context.Context, model ident.ModelID) (bool, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+url.PathEscape(string(model)), nil)
	if err != nil {
		return false, 0, errors.Wrap(err, "build request")
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false, 0, errors.Wrap(err, "ask the weight store")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, 0, errors.Wrap(err, "ask the weight store")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return true, 0, nil
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // zero if absent
		return false, time.Duration(max(seconds, 0)) * time.Second, nil
	default:
		return false, 0, errors.Errorf("weight store answered status %d", response.StatusCode)
	}
}
