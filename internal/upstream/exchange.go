package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Exchange is one request to one server whose response header has been read.
type Exchange struct {
	Status         int
	Header         http.Header
	Info           ResponseInfo
	CloseDelimited bool // the body has no length and ends when the connection closes

	pool             *Pool
	conn             *conn
	response         *http.Response
	requestWrite     *requestWrite
	closeOnce        sync.Once
	stopContextWatch func() bool // stops closing the connection when the context ends
}

// requestWrite is the state of writing a request, which may go on while the
// response is read.
type requestWrite struct {
	done     atomic.Bool
	err      error         // valid once done is set
	finished chan struct{} // closed when the write has ended, at the latest with the context
}

// Do sends a request and reads the header of its response. If ctx ends before
// the exchange is closed, reads and writes on the connection fail. The error
// is ErrNotSent if the server cannot have run the request; after
// ErrIncompleteResponse, ErrResponseMismatch and any other error it may have
// run.
func (p *Pool) Do(ctx context.Context, req *Request) (*Exchange, error) {
	c, err := p.acquire(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			p.events.Inc("withheld")
			_ = c.netConn.Close() // nothing was sent on it
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) })
	e, err := p.roundTrip(c, req)
	if err != nil {
		stop()
		_ = c.netConn.Close()
		return nil, err
	}
	e.stopContextWatch = stop
	return e, nil
}

// roundTrip writes the request and waits for the header of its response.
func (p *Pool) roundTrip(c *conn, req *Request) (*Exchange, error) {
	write := &requestWrite{finished: make(chan struct{})}
	if len(req.Body) <= maxInlineBody {
		write.run(c, req)
	} else {
		go write.run(c, req)
	}
	response, info, err := p.awaitResponse(c, req)
	if err == nil {
		return &Exchange{
			Status:         response.StatusCode,
			Header:         response.Header,
			Info:           info,
			CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
			pool:           p,
			conn:           c,
			response:       response,
			requestWrite:   write,
		}, nil
	}
	if !write.done.Load() {
		_ = c.netConn.Close()
	}
	<-write.finished
	if write.err != nil {
		// A part of the request may have been sent, and a server may run a
		// request that it has not read completely. So this is not ErrNotSent.
		p.events.Inc("write_failed")
	}
	return nil, err
}

func (w *requestWrite) run(c *conn, req *Request) {
	w.err = c.writeRequest(req)
	w.done.Store(true)
	close(w.finished)
}

// awaitResponse reads responses until that of the request arrives. It skips a
// limited number of responses to other attempts, which a server may send late
// on a reused connection.
func (p *Pool) awaitResponse(c *conn, req *Request) (*http.Response, ResponseInfo, error) {
	for skipped := 0; ; skipped++ {
		response, err := c.readResponse(req.Method)
		if err != nil {
			if isMalformed(err) {
				p.events.Inc("answer_garbled")
				return nil, ResponseInfo{}, fmt.Errorf("%w: %w", ErrResponseMismatch, err)
			}
			return nil, ResponseInfo{}, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		info := p.parser.ParseResponse(response.StatusCode, response.Header)
		if info.Attempt == req.Attempt {
			p.notify(c.server, info, false)
			return response, info, nil
		}
		c.notReusable = true
		if info.Attempt == "" && !c.reused && skipped == 0 && info.NotExecuted {
			p.notify(c.server, info, false)
			return response, info, nil // the connection has carried no other request
		}
		if c.hasCarried(info.Attempt) {
			p.notify(c.server, info, true)
		}
		p.events.Inc("answer_foreign")
		if skipped >= maxMismatched || !c.discardResponse(response) {
			return nil, ResponseInfo{}, errors.Wrapf(ErrResponseMismatch, "response names attempt %q, status %d", info.Attempt, response.StatusCode)
		}
	}
}

// isMalformed reports whether the bytes received are not an HTTP response.
func isMalformed(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr) && !isOpError(err)
}

func isOpError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr)
}

// Read reads the response body. It returns io.EOF only if the body is
// complete.
//
// A body that ends with the connection is complete only if the whole request was written. The
// error of a connection that was reset is reported to one call, so if the write got it, the
// read sees an end in order. Read waits for the end of the write.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.response.Body.Read(b)
	if !e.CloseDelimited || !errors.Is(err, io.EOF) {
		return n, err
	}
	<-e.requestWrite.finished
	if e.requestWrite.err != nil {
		e.pool.events.Inc("answer_ended_early")
		return n, fmt.Errorf("%w: %w", ErrIncompleteResponse, e.requestWrite.err)
	}
	return n, err
}

// ContentLength returns the length of the body, negative if it is unknown.
func (e *Exchange) ContentLength() int64 { return e.response.ContentLength }

// Close ends the exchange. The connection is reused only if the caller reports
// that it has read the complete body, the request was written completely and
// no response to another request was received.
func (e *Exchange) Close(complete bool) {
	e.closeOnce.Do(func() {
		e.conn.notReusable = e.conn.notReusable || !complete || e.CloseDelimited || e.response.Close || !e.stopContextWatch() || !e.requestWrite.done.Load() || e.requestWrite.err != nil
		if e.conn.notReusable {
			_ = e.conn.netConn.Close() // no response is expected on it any more
			return
		}
		e.pool.release(e.conn, e.Info.KeepAlive)
	})
}
