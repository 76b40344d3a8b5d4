package engine

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// uploadWatch tells whether a request was written completely. An answer without a length that
// ends before that is not complete: the connection may have been reset, an error that only the
// write gets.
type uploadWatch struct {
	ended chan error
}

func newUploadWatch() uploadWatch { return uploadWatch{ended: make(chan error, 1)} }

// trace returns a context for the request to watch.
func (u uploadWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case u.ended <- info.Err:
		default: // the outcome of the first write counts
		}
	}})
}

// wait returns the error of the write, after the answer has ended. The transport then closes
// the connection, so the write ends too.
func (u uploadWatch) wait() error { return <-u.ended }

// isCloseDelimited reports whether the end of the connection is that of the body.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
