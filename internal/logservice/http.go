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

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Limits of the HTTP client.
const (
	// CallTimeout bounds every call, a read besides its wait. A connection
	// on which a call timed out is closed and not used again.
	CallTimeout = 5 * time.Second
	// maxReplyBytes bounds a reply; entries arrive as base64 within JSON.
	maxReplyBytes = 16 << 20
)

// HTTPClient is the log service reached through HTTPClient.
type HTTPClient struct {
	base   string
	client *http.Client
}

var _ Log = (*HTTPClient)(nil)

// NewHTTPClient returns the log service at a base URL. The client may be nil.
func NewHTTPClient(baseURL string, client *http.Client) *HTTPClient {
	if client == nil {
		client = &http.Client{}
	}
	return &HTTPClient{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// appended is the reply to an append.
type appended struct {
	Offset *ident.Offset `json:"offset"`
}

// Append adds one entry.
func (h *HTTPClient) Append(ctx context.Context, stream Stream, data []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return ident.NoOffset, errors.Wrap(err, "log append")
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var reply appended
	if err := h.do(request, &reply); err != nil {
		return ident.NoOffset, err
	}
	if reply.Offset == nil {
		return ident.NoOffset, Unavailable(errors.New("reply names no offset"))
	}
	return *reply.Offset, nil
}

// Read returns a page of entries.
func (h *HTTPClient) Read(ctx context.Context, request ReadRequest) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+CallTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(int64(request.From), 10)},
		"max":     {strconv.Itoa(request.Max)},
		"wait_ms": {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(request.Stream, query), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "log read")
	}
	var page Page
	if err := h.do(call, &page); err != nil {
		return Page{}, err
	}
	if err := checkPage(page, request.From); err != nil {
		return Page{}, Unavailable(err)
	}
	return page, nil
}

// checkPage refuses a page that has a gap or starts elsewhere.
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

// do makes one call and decodes its reply.
func (h *HTTPClient) do(request *http.Request, reply any) error {
	response, err := h.client.Do(request)
	if err != nil {
		return Unavailable(err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return Unavailable(err)
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return Unavailable(errors.Wrap(err, "reply is not whole"))
	}
	return nil
}

// statusError turns the status of a reply into an error of this package.
func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return ErrTrimmed
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
