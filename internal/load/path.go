package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/standin/engine"
)

// Path measures the way from caller to backend server. Connections are kept,
// as a caller's HTTP client does.
type Path struct {
	Router string // base URL
	Engine string // base URL of the stand-in, called directly for comparison
	Secret string
	Model  string
	client *http.Client
}

// Overhead is the time to the first token, with and without the fleet.
type Overhead struct {
	AddedP50   time.Duration // median of the same pairs
	DirectP95  time.Duration
	ThroughP95 time.Duration
	// AddedP95 is the 95th percentile over pairs of calls made one after the
	// other, the through one less the direct one.
	AddedP95 time.Duration
}

// Throughput is what one router carried.
type Throughput struct {
	Requests int64
	Tokens   int64
	Failed   int64
	Reasons  map[string]int // failures by message
	Elapsed  time.Duration
}

const (
	pathIdleConns = 4096
	percentile    = 0.95
	median        = 0.5
	// maxRefusalBytes bounds what is read of an answer that is an error.
	maxRefusalBytes = 64 << 10
)

// Open prepares the client.
func (p *Path) Open() {
	transport := &http.Transport{MaxIdleConns: pathIdleConns, MaxIdleConnsPerHost: pathIdleConns}
	p.client = &http.Client{Transport: transport, Timeout: callTimeout}
}

// Overhead makes pairs of streamed requests, one directly to the engine and
// one through router and side process.
func (p *Path) Overhead(ctx context.Context, pairs int) (Overhead, error) {
	var direct, through, added []time.Duration
	for range pairs {
		d, _, err := p.stream(ctx, p.Engine, "", 4)
		if err != nil {
			return Overhead{}, errors.Wrap(err, "direct")
		}
		t, _, err := p.stream(ctx, p.Router, p.Secret, 4)
		if err != nil {
			return Overhead{}, errors.Wrap(err, "through the router")
		}
		direct = append(direct, d)
		through = append(through, t)
		added = append(added, t-d)
	}
	return Overhead{
		AddedP50:   quantile(added, median),
		DirectP95:  quantile(direct, percentile),
		ThroughP95: quantile(through, percentile),
		AddedP95:   quantile(added, percentile),
	}, nil
}

func quantile(sample []time.Duration, q float64) time.Duration {
	slices.Sort(sample)
	return sample[int(float64(len(sample)-1)*q)]
}

// Throughput sends requests over a number of concurrent streams.
func (p *Path) Throughput(ctx context.Context, requests, concurrent, tokens int) Throughput {
	done := Throughput{Reasons: map[string]int{}}
	var mu sync.Mutex // guards done.Reasons
	var generated, failed atomic.Int64
	start := time.Now()
	workers := pool.New().WithMaxGoroutines(concurrent)
	for range requests {
		workers.Go(func() {
			_, got, err := p.stream(ctx, p.Router, p.Secret, tokens)
			if err != nil {
				failed.Add(1)
				mu.Lock()
				done.Reasons[err.Error()]++
				mu.Unlock()
			}
			generated.Add(got)
		})
	}
	workers.Wait()
	done.Elapsed = time.Since(start)
	done.Failed = failed.Load()
	done.Requests = int64(requests) - done.Failed
	done.Tokens = generated.Load()
	return done
}

// stream makes one streamed request and returns the time to its first token
// and the number of tokens.
func (p *Path) stream(ctx context.Context, base, secret string, tokens int) (time.Duration, int64, error) {
	chat := Chat{
		Model:     p.Model,
		Messages:  []engine.Message{{Role: "user", Content: fmt.Sprintf("Where does section nine, row four begin? [tokens=%d]", tokens)}},
		MaxTokens: tokens,
		Stream:    true,
	}
	call, err := chat.Call()
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	start := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		return 0, 0, errors.Errorf("status %d: %s", response.StatusCode, refusalCode(body))
	}
	return readTimed(bufio.NewScanner(response.Body), start)
}

// refusalCode returns the code of a refusal's JSON.
func refusalCode(body []byte) string {
	var e event
	if json.Unmarshal(body, &e) != nil || e.Error == nil {
		return "not a refusal"
	}
	return e.Error.Code
}

// readTimed reads a stream to its end.
func readTimed(lines *bufio.Scanner, start time.Time) (first time.Duration, tokens int64, err error) {
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return first, tokens, nil
		}
		if strings.Contains(data, `"content":"`) {
			tokens++
		}
		if first == 0 {
			first = time.Since(start)
		}
	}
	return first, tokens, errors.New("stream ended before [DONE]")
}
