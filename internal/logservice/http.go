package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/httpclient"
	"github.com/camphorlever/camphorlever/internal/ident"
)

// Limits of the HTTP client.
const (
	// CallTimeout bounds every call; a read may take its Wait in addition. A
	// connection on which a call timed out is closed and not reused.
	CallTimeout = 5 * time.Second
	// maxReplyBytes bounds the body of a reply, in which entries are base64
	// within JSON.
	maxReplyBytes = 16 << 20
)

// eraEvents counts pages without a valid era by reason.
var eraEvents = counter.NewSet("log_eras")

// HTTPClient implements Log over the HTTP API of the log service.
type HTTPClient struct {
	base   string
	client *http.Client
}

var _ Log = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the log service at a base URL. A nil client
// means one of package httpclient.
func NewHTTPClient(baseURL string, client *http.Client) *HTTPClient {
	if client == nil {
		client = httpclient.New()
	}
	return &HTTPClient{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// appendReply is the JSON reply to an append.
type appendReply struct {
	Offset *ident.Offset `json:"offset"`
}

// Append adds one entry and returns its offset. It fails with ErrTooLarge or
// ErrUnavailable, or with another error if the service rejects the request.
func (h *HTTPClient) Append(ctx context.Context, stream Stream, data []byte) (ident.Offset, error) {
	return h.AppendIf(ctx, AppendRequest{Stream: stream, Data: data, At: ident.NoOffset})
}

// AppendIf implements Log.
func (h *HTTPClient) AppendIf(ctx context.Context, request AppendRequest) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	query := url.Values{}
	if request.At != ident.NoOffset {
		query.Set("at", strconv.FormatInt(int64(request.At), 10))
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(request.Stream, query), bytes.NewReader(request.Data))
	if err != nil {
		return ident.NoOffset, errors.Wrap(err, "log append")
	}
	httpRequest.Header.Set("Content-Type", "application/octet-stream")
	if request.Era != NoEra {
		httpRequest.Header.Set(EraHeader, strconv.FormatUint(uint64(request.Era), 10))
	}
	var reply appendReply
	if _, err := h.do(httpRequest, &reply); err != nil {
		return ident.NoOffset, err
	}
	if reply.Offset == nil {
		return ident.NoOffset, Unavailable(errors.New("append reply has no offset"))
	}
	return *reply.Offset, nil
}

// Read returns a page of entries. It fails with ErrTrimmed or ErrUnavailable, or
// with another error if the service rejects the request.
func (h *HTTPClient) Read(ctx context.Context, request ReadRequest) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+CallTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(int64(request.From), 10)},
		"max":     {strconv.Itoa(request.Max)},
		"wait_ms": {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(request.Stream, query), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "log read")
	}
	var page Page
	header, err := h.do(httpRequest, &page)
	if err != nil {
		return Page{}, err
	}
	page.Era = parseEra(header)
	if err := checkPage(page, request.From); err != nil {
		return Page{}, Unavailable(err)
	}
	return page, nil
}

// checkPage rejects a page that has a gap, does not start at from, or names a
// next offset before its end.
func checkPage(page Page, from ident.Offset) error {
	for i, entry := range page.Entries {
		if want := from + ident.Offset(i); entry.Offset != want {
			return errors.Errorf("page holds offset %d where %d was due", entry.Offset, want)
		}
	}
	if end := from + ident.Offset(len(page.Entries)); len(page.Entries) > 0 && page.Next < end {
		return errors.Errorf("page ends at %d but says the next offset is %d", end, page.Next)
	}
	return nil
}

// parseEra returns the era of an answer. A missing or malformed era is counted and
// is NoEra.
func parseEra(header http.Header) Era {
	text := header.Get(EraHeader)
	if text == "" {
		eraEvents.Inc("missing")
		return NoEra
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil || era == 0 {
		eraEvents.Inc("invalid")
		return NoEra
	}
	return Era(era)
}

// do sends one request, decodes its JSON reply and returns the reply's header.
func (h *HTTPClient) do(request *http.Request, reply any) (http.Header, error) {
	response, err := h.client.Do(request)
	if err != nil {
		return nil, Unavailable(err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, Unavailable(err)
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return nil, Unavailable(errors.Wrap(err, "reply is not whole"))
	}
	return response.Header, nil
}

// statusError maps the HTTP status of a reply to an error of this package.
func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return ErrTrimmed
	case http.StatusConflict:
		return ErrMoved
	case http.StatusPreconditionFailed:
		return ErrEraChanged
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusBadRequest, http.StatusNotFound:
		return errors.Errorf("log service refused the call: %s", response.Status)
	default:
		return Unavailable(errors.New(response.Status))
	}
}

func (h *HTTPClient) url(stream Stream, query url.Values) string {
	address := h.base + "/log/" + string(stream)
	if len(query) == 0 {
		return address
	}
	return address + "?" + query.Encode()
}
