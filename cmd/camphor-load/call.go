package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = 2 * time.Second // of one try
)

type callCommand struct {
	Method string        `arg:"" help:"HTTP method."`
	URL    string        `arg:"" help:"Address."`
	Body   string        `arg:"" optional:"" help:"JSON body."`
	Wait   time.Duration `help:"Try again for this long until the status is 2xx."`
	Quiet  bool          `help:"Print nothing."`
}

// Run makes the call, and repeats it for as long as it may until it succeeds.
func (c *callCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), max(c.Wait, pollTimeout))
	defer cancel()
	for {
		body, err := c.once(ctx)
		if err == nil {
			if !c.Quiet {
				_, err = os.Stdout.Write(body)
			}
			return err
		}
		if c.Wait == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func (c *callCommand) once(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("%s: %s: %s", c.URL, response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
