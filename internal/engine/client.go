// Package engine is the client with which a side process talks to its backend
// server: a model engine that streams chat completions, or a plain HTTP service.
//
// Every request uses a new connection, which is closed afterwards, so that a
// connection that has become silent is never reused. Dialling is cheap, because
// the backend server runs on the same VM.
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
	"github.com/camphorlever/camphorlever/internal/httpclient"
)

// Defaults of Config and fixed limits.
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

// Config configures a Client. Only URL is required.
type Config struct {
	URL       string
	Logger    zerolog.Logger
	Transport http.RoundTripper // nil: NewTransport
	// SilenceTimeout is the time without a received byte after which a stream's
	// connection is closed and the stream is resumed on a new one. 0:
	// DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// LivenessTimeout is the time without a new event or an answered load
	// request after which a chat run fails. For an idempotent plain call it is
	// the time without a received byte after which an attempt fails. 0:
	// DefaultLivenessTimeout.
	LivenessTimeout time.Duration
	// CallTimeout limits a short call such as a load report. 0:
	// DefaultCallTimeout.
	CallTimeout time.Duration
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

// NewTransport returns a transport that uses each connection for one request.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	}
}

// New returns a client of the backend server at config.URL.
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

// noRedirect makes redirect responses go back to the caller: following one
// would send the call a second time.
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

// do sends a request. A response whose status cannot be that of one is an error.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if err != nil || httpclient.IsFinalStatus(response.StatusCode) {
		return response, err
	}
	response.Body.Close()
	c.counts.Inc("status_invalid")
	return nil, errors.Errorf("status %03d is not valid", response.StatusCode)
}

// callJSON makes one short call with a JSON body and decodes the JSON reply. It
// returns an error for a reply that can't be decoded and for any status but 200;
// the HTTP status is returned in both cases, 0 if no response arrived.
func (c *Client) callJSON(ctx context.Context, method, path string, body, reply any) (int, error) {
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
	response, err := c.do(request)
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
