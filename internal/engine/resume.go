package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// resumeUntilEnd takes a broken stream up again, on a new connection each
// time, until it ends, ctx ends, or the engine gives no sign of life for too
// long. An engine that answers a load request is alive: it may take its time
// before the first token.
func (r *chatRun) resumeUntilEnd(ctx context.Context) streamEnd {
	alive, refusing := time.Now(), time.Time{}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		before := r.next
		end := r.resume(ctx)
		if end != endBroken && end != endNotSent {
			return end
		}
		if r.next > before {
			alive, refusing, attempt = time.Now(), time.Time{}, 0
			continue
		}
		if r.client.answers(ctx) {
			alive = time.Now()
		}
		refusing = sinceRefused(refusing, end == endNotSent && r.notOpen)
		if time.Since(alive) >= r.client.config.LivenessTimeout || gone(refusing) {
			r.client.counts.Inc("gave_up")
			return r.failed(endBroken, "engine is silent")
		}
		pause(ctx, attempt)
	}
	return r.failed(endBroken, "stopped")
}

// refusedGiveUp is how long an engine may refuse connections. Nothing listens
// there then: it has ended, and its streams with it.
const refusedGiveUp = 2 * time.Second

// sinceRefused returns since when connections are refused, zero if the last
// attempt was not.
func sinceRefused(since time.Time, refused bool) time.Time {
	if !refused {
		return time.Time{}
	}
	if since.IsZero() {
		return time.Now()
	}
	return since
}

func gone(since time.Time) bool {
	return !since.IsZero() && time.Since(since) >= refusedGiveUp
}

// resume asks for the stream from the next event on.
func (r *chatRun) resume(ctx context.Context) streamEnd {
	r.client.counts.Inc("stream_resumed")
	path := "/streams/" + url.PathEscape(r.id) + "?from=" + strconv.FormatUint(r.next, 10)
	request, err := http.NewRequest(http.MethodGet, r.client.base+path, nil)
	if err != nil {
		return r.failed(endFailed, err.Error())
	}
	request.Header.Set("Accept", eventStream)
	return r.exchange(ctx, request)
}

// answers reports whether the engine answers on a new connection.
func (c *Client) answers(ctx context.Context) bool {
	_, err := c.Load(ctx)
	return err == nil
}

// pause waits with full jitter before another attempt.
func pause(ctx context.Context, attempt int) {
	limit := min(resumeBackoffMin<<min(attempt, 10), resumeBackoffMax)
	timer := time.NewTimer(rand.N(limit) + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
