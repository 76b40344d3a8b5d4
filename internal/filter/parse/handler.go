package parse

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// retryAfter is sent to callers for whose body there is no memory.
const retryAfter = 5 * time.Second

type handler struct {
	counters *counter.Set
}

// Handle reads the whole body, bounded in size and time, and sets the request's
// call. No later filter reads from the caller.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	if refused := h.readHeaders(r); refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	body, refused := h.readBody(r)
	if refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	r.Call.Body = body
	r.Call.ContentType = r.HTTP.Header.Get("Content-Type")
	if r.Route.Service != "" {
		h.setServiceCall(r)
		return next(ctx, r)
	}
	if refused := h.setChatCall(r, body); refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	return next(ctx, r)
}

func (h *handler) readHeaders(r *filter.Request) *refusal.Refusal {
	r.CallerKey = r.HTTP.Header.Get(filter.HeaderIdempotencyKey)
	if len(r.CallerKey) > maxKeyLength {
		return h.badRequest("long_key", "The idempotency key is longer than "+strconv.Itoa(maxKeyLength)+" bytes.")
	}
	text := r.HTTP.Header.Get(filter.HeaderOnce)
	if text == "" {
		return nil
	}
	once, err := strconv.ParseBool(text)
	if err != nil {
		return h.badRequest("bad_once", filter.HeaderOnce+" must be true or false.")
	}
	r.Once = once
	return nil
}

func maxBody(r *filter.Request) int64 {
	if n := r.Settings.Fleet.MaxBodyBytes; n > 0 {
		return int64(n)
	}
	return defaultMaxBody
}

func (h *handler) readBody(r *filter.Request) ([]byte, *refusal.Refusal) {
	limit := maxBody(r)
	if r.HTTP.ContentLength > limit {
		return nil, h.tooLarge(limit)
	}
	r.Writer.SetReadTimeout(bodyTimeout)
	holder := intake.FromContext(r.HTTP.Context())
	holder.SetAccount(string(r.Caller.Team) + "/" + string(r.Caller.Account))
	body, err := holder.ReadBody(http.MaxBytesReader(nil, r.HTTP.Body, limit), r.HTTP.ContentLength)
	if err == nil {
		return body, nil
	}
	if errors.Is(err, intake.ErrFull) {
		h.counters.Inc("memory_full")
		r.Writer.Header().Set("Connection", "close") // the rest of the body is not read
		refused := refusal.New(refusal.MemoryFull, refusal.NotRun, "Too many unfinished requests are held.")
		refused.RetryAfter = retryAfter
		return nil, refused
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, h.tooLarge(limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, h.badRequest("slow_body", "The body did not arrive in time.")
	}
	return nil, h.badRequest("broken_body", "The body could not be read to its end.")
}

// setServiceCall sets the call of a plain service. It marks the request as once if
// the settings say that the method must not be repeated.
func (h *handler) setServiceCall(r *filter.Request) {
	r.Call.Service = r.Route.Service
	r.Call.Method = r.HTTP.Method
	r.Call.Path = r.Route.Path
	if query := r.HTTP.URL.RawQuery; query != "" {
		r.Call.Path += "?" + query
	}
	for _, method := range r.Settings.Services[r.Route.Service].NonIdempotent {
		if method == r.HTTP.Method {
			r.Once = true
		}
	}
}

func (h *handler) setChatCall(r *filter.Request, body []byte) *refusal.Refusal {
	chat, err := decodeChat(body)
	if err != nil {
		return h.badRequest("bad_chat", "The request is not a valid chat completion: "+err.Error()+".")
	}
	r.Call = wire.Call{
		Model:       ident.ModelID(chat.Model),
		Adapter:     ident.AdapterID(r.HTTP.Header.Get(filter.HeaderAdapter)),
		ContentType: "application/json",
		Body:        body,
	}
	r.Stream = chat.Stream
	r.RequestedOutput = chat.maxOutput()
	r.Contents = chat.concatenatedText()
	r.MessageCount = len(chat.Messages)
	return nil
}

func (h *handler) badRequest(reason, message string) *refusal.Refusal {
	h.counters.Inc(reason)
	return refusal.New(refusal.BadRequest, refusal.NotRun, message)
}

func (h *handler) tooLarge(limit int64) *refusal.Refusal {
	h.counters.Inc("too_large")
	return refusal.New(refusal.BodyTooLarge, refusal.NotRun, "The body is larger than "+strconv.FormatInt(limit, 10)+" bytes.")
}
