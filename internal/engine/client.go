// Package engine is the side process's client of its backend server: a model
// engine that streams chat completions, or a plain service.
//
// Every request uses a connection of its own, which is closed afterwards. A
// connection that went silent is therefore never used again, and the next
// request dials anew. The backend server stands on the same VM, so that a dial
// costs little.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/gate"
)

// Defaults of Config, and limits.
const (
	DefaultSilenceTimeout  = 2 * time.Second
	DefaultLivenessTimeout = 10 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	dialTimeout            = 2 * time.Second
	maxReplyBytes          = 4 << 20
	maxErrorBytes          = 64 << 10
	resumeBackoffMin       = 50 * time.Millisecond
	resumeBackoffMax       = time.Second
)

// Config holds what a client needs. URL is required.
type Config struct {
	URL             string
	Logger          zerolog.Logger
	Transport       http.RoundTripper // NewTransport if nil
	SilenceTimeout  time.Duration     // without a byte, after which a stream's connection is given up
	LivenessTimeout time.Duration     // without a sign of life, after which a run has failed
	CallTimeout     time.Duration     // for a short call such as a load report
}

// Client talks to one backend server. It is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	log    zerolog.Logger
	counts *counter.Set
	config Config
}

var _ gate.Backend = (*Client)(nil)

// NewTransport returns a transport that uses each connection once.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// New returns a client.
func New(config Config) *Client {
	if config.Transport == nil {
		config.Transport = NewTransport()
	}
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = DefaultSilenceTimeout
	}
	if config.LivenessTimeout <= 0 {
		config.LivenessTimeout = DefaultLivenessTimeout
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	return &Client{
		base:   strings.TrimSuffix(config.URL, "/"),
		http:   &http.Client{Transport: config.Transport, CheckRedirect: noRedirect},
		log:    config.Logger.With().Str("part", "engine").Logger(),
		counts: counter.NewSet("engine"),
		config: config,
	}
}

// noRedirect hands redirects on to the caller: following one would send the
// call a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Run implements gate.Backend.
func (c *Client) Run(ctx context.Context, job gate.Job, sink gate.Sink) gate.Outcome {
	if job.Call.Service != "" {
		return c.runPlain(ctx, job, sink)
	}
	return c.runChat(ctx, job, sink)
}

// call makes one short call. A reply that is not JSON of the wanted form is an
// error, as is any status but 200; the status is returned in both cases.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, errors.Wrap(err, "encode request")
		}
		reader = strings.NewReader(string(raw))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return response.StatusCode, errors.Wrapf(err, "%s %s", method, path)
	}
	if reply != nil && len(raw) > 0 {
		err = errors.Wrapf(json.Unmarshal(raw, reply), "%s %s", method, path)
	}
	if response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return response.StatusCode, err
}
