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

// Exchange is one request at one server whose answer has begun.
type Exchange struct {
	Status         int
	Header         http.Header
	Info           ResponseInfo
	CloseDelimited bool // the body ends with the connection

	pool     *Pool
	conn     *conn
	response *http.Response
	write    *writing
	closed   sync.Once
	stop     func() bool // ends the watch on the context
}

// writing is a body that is written beside the answer's reading.
type writing struct {
	done atomic.Bool
	err  error // valid once done
	end  chan struct{}
}

// Do sends a request and reads the header of its answer. The connection is
// closed when ctx ends, until the exchange is closed. The error is ErrNotSent
// if the server cannot have run the request.
func (p *Pool) Do(ctx context.Context, s *Request) (*Exchange, error) {
	c, err := p.get(ctx, s.Server, s.FreshConn)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	e, err := p.exchange(c, s)
	if err != nil {
		stop()
		_ = c.net.Close()
		return nil, err
	}
	e.stop = stop
	return e, nil
}

func (p *Pool) exchange(c *conn, s *Request) (*Exchange, error) {
	writing := &writing{end: make(chan struct{})}
	if len(s.Body) <= inlineBody {
		writing.run(c, s)
	} else {
		go writing.run(c, s)
	}
	response, tells, err := p.await(c, s)
	if err == nil {
		return &Exchange{
			Status:         response.StatusCode,
			Header:         response.Header,
			Info:           tells,
			CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
			pool:           p,
			conn:           c,
			response:       response,
			write:          writing,
		}, nil
	}
	if !writing.done.Load() {
		_ = c.net.Close()
	}
	<-writing.end
	if writing.err != nil {
		// Some of it may have left, and a server may run what it has not read
		// whole.
		p.events.Inc("write_failed")
	}
	return nil, err
}

func (w *writing) run(c *conn, s *Request) {
	w.err = c.write(s)
	w.done.Store(true)
	close(w.end)
}

// await reads answers until the request's own one comes.
func (p *Pool) await(c *conn, s *Request) (*http.Response, ResponseInfo, error) {
	for skipped := 0; ; skipped++ {
		response, err := c.answer(s.Method)
		if err != nil {
			if isGarbled(err) {
				p.events.Inc("answer_garbled")
				return nil, ResponseInfo{}, fmt.Errorf("%w: %w", ErrResponseMismatch, err)
			}
			return nil, ResponseInfo{}, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		tells := p.reader.ParseResponse(response.StatusCode, response.Header)
		if tells.Attempt == s.Attempt {
			return response, tells, nil
		}
		c.spoilt = true
		if tells.Attempt == "" && !c.reused && skipped == 0 && tells.NotExecuted {
			return response, tells, nil // nothing else was asked on this connection
		}
		p.events.Inc("answer_foreign")
		if skipped >= maxForeign || !c.skip(response) {
			return nil, ResponseInfo{}, errors.Wrapf(ErrResponseMismatch, "answer names attempt %q, status %d", tells.Attempt, response.StatusCode)
		}
	}
}

// isGarbled reports whether bytes came that are no answer.
func isGarbled(err error) bool {
	var network net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) && !isReset(err)
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// Read reads the body. It ends with io.EOF only if the body is whole.
func (e *Exchange) Read(b []byte) (int, error) {
	return e.response.Body.Read(b)
}

// Close ends the exchange. The connection is used again only if the answer was
// read whole, as done says, and nothing else came with it.
func (e *Exchange) Close(done bool) {
	e.closed.Do(func() {
		e.conn.spoilt = e.conn.spoilt || !done || e.CloseDelimited || e.response.Close || !e.stop() || !e.write.done.Load() || e.write.err != nil
		if e.conn.spoilt {
			_ = e.conn.net.Close() // nothing is awaited on it any more
			return
		}
		e.pool.put(e.conn, e.Info.KeepAlive)
	})
}
