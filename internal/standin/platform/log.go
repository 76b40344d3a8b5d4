package platform

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/memlog"
)

// maxWait bounds the wait of a long poll.
const maxWait = time.Minute

// appended is the reply to an append.
type appended struct {
	Offset ident.Offset `json:"offset"`
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, memlog.MaxEntryBytes+1))
	if err != nil {
		http.Error(w, "body is not whole", http.StatusBadRequest)
		return
	}
	request, err := parseAppend(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.Stream, request.Data = streamOf(params), data
	offset, era, err := p.Log.AppendInEra(r.Context(), request)
	if err != nil {
		fail(w, err)
		return
	}
	setEra(w, era)
	reply(w, appended{Offset: offset})
}

// parseAppend reads the conditions of an append.
func parseAppend(r *http.Request) (logservice.AppendRequest, error) {
	request := logservice.AppendRequest{At: ident.NoOffset}
	if text := r.Header.Get(logservice.EraHeader); text != "" {
		era, err := strconv.ParseUint(text, 10, 64)
		if err != nil || era == 0 {
			return request, errors.New("era is not a number from 1")
		}
		request.Era = logservice.Era(era)
	}
	if text := r.URL.Query().Get("at"); text != "" {
		at, err := strconv.ParseInt(text, 10, 64)
		if err != nil || at < 0 {
			return request, errors.New("at is not an offset")
		}
		request.At = ident.Offset(at)
	}
	return request, nil
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	request, err := parseRead(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.Stream = streamOf(params)
	page, err := p.Log.Read(r.Context(), request)
	if err != nil {
		fail(w, err)
		return
	}
	setEra(w, page.Era)
	reply(w, page)
}

// withEra sets the log's era in every answer of a handler. A handler that knows the
// era of the offsets it returns sets that one.
func (p *Platform) withEra(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		setEra(w, p.Log.Era())
		next(w, r, params)
	}
}

func setEra(w http.ResponseWriter, era logservice.Era) {
	w.Header().Set(logservice.EraHeader, strconv.FormatUint(uint64(era), 10))
}

// parseRead reads the query of a log read.
func parseRead(r *http.Request) (logservice.ReadRequest, error) {
	query := r.URL.Query()
	numbers := [3]int64{}
	for i, name := range []string{"from", "max", "wait_ms"} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return logservice.ReadRequest{}, errors.Errorf("%s is not a whole number", name)
		}
		numbers[i] = n
	}
	wait := min(time.Duration(numbers[2])*time.Millisecond, maxWait)
	return logservice.ReadRequest{From: ident.Offset(numbers[0]), Max: int(numbers[1]), Wait: wait}, nil
}

// fail answers with the status of a log error. A lost reply closes the
// connection without an answer.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, memlog.ErrReplyLost):
		panic(http.ErrAbortHandler) // net/http's way to drop a connection
	case errors.Is(err, logservice.ErrTrimmed):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, logservice.ErrMoved):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, logservice.ErrEraChanged):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, logservice.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, memlog.ErrBadOffset):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func streamOf(params httprouter.Params) logservice.Stream {
	return logservice.Stream(strings.TrimPrefix(params.ByName("stream"), "/"))
}
