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
	weightsTimeout    = 5 * time.Minute // for one request; the store may send nothing until the load is granted
	minWeightsBackoff = time.Second
	maxWeightsBackoff = time.Minute
)

// WeightsClient is the client of the platform's weight store. The store's rate
// limit applies to the whole fleet. Refused requests are therefore retried with
// full jitter, so that side processes refused at the same time retry at
// different times.
type WeightsClient struct {
	url    string
	client *http.Client
	counts *counter.Set
}

// NewWeightsClient returns a client of the weight store at baseURL.
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
		granted, minDelay, err := w.request(ctx, model)
		if granted {
			w.counts.Inc("granted")
			return nil
		}
		if err != nil {
			w.counts.Inc("failed")
		} else {
			w.counts.Inc("rate_limited")
		}
		sleep(ctx, retryDelay(attempt, minDelay))
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "acquire weights")
		}
	}
}

// retryDelay returns minDelay plus a random delay between zero and an
// exponentially growing limit (full jitter).
func retryDelay(attempt int, minDelay time.Duration) time.Duration {
	limit := min(minWeightsBackoff<<min(attempt, 10), maxWeightsBackoff)
	return minDelay + rand.N(limit)
}

// request asks the store once. It reports whether the load was granted, and
// otherwise the minimum delay before the next attempt, from Retry-After.
func (w *WeightsClient) request(ctx context.Context, model ident.ModelID) (bool, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+url.PathEscape(string(model)), nil)
	if err != nil {
		return false, 0, errors.Wrap(err, "build weight store request")
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false, 0, errors.Wrap(err, "request weights from the weight store")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, 0, errors.Wrap(err, "request weights from the weight store")
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
