// Package ctl is the operator's command line: a client of the administration
// interface of any router, and the commands on it.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Limits of the client.
const (
	callTimeout   = 10 * time.Second
	maxTries      = 6
	firstPause    = 200 * time.Millisecond
	maxReplyBytes = 64 << 20
	apiRoot       = "/admin/v1/"
)

// Refused is an answer that says no. Repeating the call will not help.
type Refused struct {
	Status  int
	Code    string
	Message string
}

// Error returns the code and the sentence of the refusal.
func (r *Refused) Error() string {
	if r.Code == "" {
		return r.Message
	}
	return r.Code + ": " + r.Message
}

// Unknown means that no answer arrived: the call may have taken effect.
type Unknown struct {
	Cause error
}

// Error says that the outcome is unknown, and why.
func (u *Unknown) Error() string {
	return "outcome unknown: " + u.Cause.Error()
}

// Unwrap returns the cause.
func (u *Unknown) Unwrap() error {
	return u.Cause
}

// Client calls the administration interface. Routers are tried in turn.
type Client struct {
	routers []string
	key     string
	http    *http.Client
	notify  func(format string, args ...any)
	pause   time.Duration
}

// NewClient returns a client of the routers at some base URLs. Notify is told
// of calls that are repeated.
func NewClient(routers []string, key string, notify func(format string, args ...any)) *Client {
	transport := &http.Transport{DisableKeepAlives: true} // a kept connection may have gone silent
	return &Client{
		routers: routers,
		key:     key,
		http:    &http.Client{Timeout: callTimeout, Transport: transport},
		notify:  notify,
		pause:   firstPause,
	}
}

// Get reads a document.
func (c *Client) Get(ctx context.Context, path string, reply any) error {
	return c.repeat(ctx, "read "+path, func(router string) error {
		return c.call(ctx, router, http.MethodGet, path, nil, reply)
	})
}

// Write makes a call that has the same effect however often it arrives, and
// repeats it until an answer is had.
func (c *Client) Write(ctx context.Context, method, path string, body, reply any) error {
	return c.repeat(ctx, path, func(router string) error {
		return c.call(ctx, router, method, path, body, reply)
	})
}

// WriteOnce makes a call that must not be repeated.
func (c *Client) WriteOnce(ctx context.Context, method, path string, body, reply any) error {
	return c.call(ctx, c.routers[0], method, path, body, reply)
}

// repeat tries routers in turn until one answers.
func (c *Client) repeat(ctx context.Context, what string, call func(router string) error) error {
	try := 0
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = c.pause
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		router := c.routers[try%len(c.routers)]
		try++
		err := call(router)
		if _, refused := err.(*Refused); refused || err == nil {
			return struct{}{}, permanent(err)
		}
		c.notify("%s at %s: %v", what, router, err)
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxTries))
	return err
}

func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// call makes one call. It fails with *Refused if a router said no, and with
// *Unknown if the call may have taken effect.
func (c *Client) call(ctx context.Context, router, method, path string, body, reply any) error {
	request, err := c.request(ctx, router, method, path, body)
	if err != nil {
		return &Refused{Message: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Unknown{Cause: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &Unknown{Cause: err}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &Unknown{Cause: refusalOf(response, raw)}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalOf(response, raw)
	}
	if reply == nil || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return &Unknown{Cause: errors.Wrap(err, "answer is not whole")}
	}
	return nil
}

func (c *Client) request(ctx context.Context, router, method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(router, "/")+apiRoot+path, content)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// refusalOf reads the JSON of a refusal, or what else the answer says.
func refusalOf(response *http.Response, raw []byte) *Refused {
	var document struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(raw, &document); err != nil || document.Error.Message == "" {
		return &Refused{Status: response.StatusCode, Message: response.Status + ": " + strings.TrimSpace(string(raw))}
	}
	return &Refused{Status: response.StatusCode, Code: document.Error.Code, Message: document.Error.Message}
}
