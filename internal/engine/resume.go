package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// resumeUntilEnd resumes a broken stream, on a new connection each time, until
// the stream ends, ctx is done, or the engine is unresponsive for
// Config.LivenessTimeout or refuses connections for refusedTimeout. An engine
// that answers a load request counts as responsive even if it sends no events,
// since the first token may take long.
func (r *chatRun) resumeUntilEnd(ctx context.Context) streamEnd {
	lastAlive, refusedSince := time.Now(), time.Time{}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		previous := r.nextIndex
		end := r.resume(ctx)
		if end != endBroken && end != endNotSent {
			return end
		}
		if r.nextIndex > previous {
			lastAlive, refusedSince, attempt = time.Now(), time.Time{}, 0
			continue
		}
		if r.client.isResponding(ctx) {
			lastAlive = time.Now()
		}
		refusedSince = updateRefusedSince(refusedSince, end == endNotSent && r.dialRefused)
		if time.Since(lastAlive) >= r.client.config.LivenessTimeout || refusedTooLong(refusedSince) {
			r.client.counts.Inc("gave_up")
			return r.fail(endBroken, "engine is silent")
		}
		sleepBackoff(ctx, attempt)
	}
	return r.fail(endBroken, "stopped")
}

// refusedTimeout is how long an engine may refuse connections before the run
// fails. It is shorter than the liveness timeout because a refused connection
// means that nothing listens: the engine process has ended, and its streams with
// it.
const refusedTimeout = 2 * time.Second

// updateRefusedSince returns since when connections have been refused, or the zero
// time if the last attempt was not refused.
func updateRefusedSince(since time.Time, refused bool) time.Time {
	if !refused {
		return time.Time{}
	}
	if since.IsZero() {
		return time.Now()
	}
	return since
}

func refusedTooLong(since time.Time) bool {
	return !since.IsZero() && time.Since(since) >= refusedTimeout
}

// resume requests the stream again, starting at the next event.
func (r *chatRun) resume(ctx context.Context) streamEnd {
	r.client.counts.Inc("stream_resumed")
	path := "/streams/" + url.PathEscape(r.id) + "?from=" + strconv.FormatUint(r.nextIndex, 10)
	request, err := http.NewRequest(http.MethodGet, r.client.base+path, nil)
	if err != nil {
		return r.fail(endEngineError, err.Error())
	}
	request.Header.Set("Accept", eventStreamType)
	return r.exchange(ctx, request)
}

// isResponding reports whether the engine answers a load request.
func (c *Client) isResponding(ctx context.Context) bool {
	_, err := c.Load(ctx)
	return err == nil
}

// sleepBackoff sleeps before a retry, with exponential backoff and full jitter. It
// returns early when ctx is done.
func sleepBackoff(ctx context.Context, attempt int) {
	limit := min(resumeBackoffMin<<min(attempt, 10), resumeBackoffMax)
	timer := time.NewTimer(rand.N(limit) + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
