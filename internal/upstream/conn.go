package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/httpclient"
	"github.com/camphorlever/camphorlever/internal/membership"
)

// Limits of a connection; sizes in bytes.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the response is
	// read. A longer one is written concurrently, since the server may respond
	// before it has read the body.
	maxInlineBody = 2 << 10
	// maxMismatched limits how many responses to other requests are skipped on
	// a connection.
	maxMismatched = 3
	// maxHeadBytes limits the head of a response, including the interim responses
	// before it. A faulty server may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxCarried limits the requests on one connection, whose IDs are remembered.
	maxCarried = 512
	// maxDiscardedBytes limits the body of a response that is skipped.
	maxDiscardedBytes = 256 << 10
)

// errInvalidStatus means that a status is not one that can answer a request.
var errInvalidStatus = errors.New("status is not valid")

// errHeadTooLong means that a response's head exceeds maxHeadBytes.
var errHeadTooLong = errors.New("head of the response is too long")

// conn is a connection to one incarnation of a server. It carries one request
// at a time.
type conn struct {
	netConn     net.Conn
	limit       *limitedReader // below reader
	reader      *bufio.Reader
	writer      *bufio.Writer
	server      membership.Server
	idleSince   time.Time
	usableUntil time.Time // the server may close the connection after this
	reused      bool      // has carried an earlier request
	notReusable bool      // must not carry another request
	carried     []uint64  // hashes of the attempts that it has carried
}

func newConn(c net.Conn, server membership.Server) *conn {
	limit := &limitedReader{source: c}
	return &conn{
		netConn: c,
		limit:   limit,
		reader:  bufio.NewReaderSize(limit, readBufferSize),
		writer:  bufio.NewWriterSize(c, writeBufferSize),
		server:  server,
	}
}

// mayCarry reports whether a response to an earlier request on the connection could not be
// taken for one to the given attempt.
func (c *conn) mayCarry(attempt string) bool {
	return attempt != "" && !c.hasCarried(attempt)
}

// hasCarried reports whether an attempt, one with an ID, was sent on the connection.
func (c *conn) hasCarried(attempt string) bool {
	return attempt != "" && slices.Contains(c.carried, xxhash.Sum64String(attempt))
}

// carry records an attempt. A connection is not reused after one without an ID, since its
// responses cannot be told from others, or after maxCarried.
func (c *conn) carry(attempt string) {
	c.carried = append(c.carried, xxhash.Sum64String(attempt))
	if attempt == "" || len(c.carried) >= maxCarried {
		c.notReusable = true
	}
}

// hasNoInput reports whether an idle connection has nothing to read: no
// unexpected bytes, no end of the stream and no error.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		noInput = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return noInput && err == nil
}

// writeRequest sends the request. A nil error means that all of it was written
// to the socket.
func (c *conn) writeRequest(req *Request) error {
	w := c.writer
	_, _ = w.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n") // a bufio.Writer returns its first error again from Flush
	if err := req.Header.Write(w); err != nil {
		return errors.Wrap(err, "write header")
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet {
		_, _ = w.WriteString(contentLength(len(req.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)
	return errors.Wrap(w.Flush(), "write request")
}

// readResponse reads the header of the next response. It skips interim (1xx)
// responses. All of these together may have maxHeadBytes. A status that the protocol
// does not have is an error, and so is 101, since no request asks for another protocol.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.limit.setLimit(maxHeadBytes, errHeadTooLong)
	defer c.limit.clearLimit()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		status := response.StatusCode
		if httpclient.IsFinalStatus(status) {
			return response, nil
		}
		isInterim := status >= http.StatusContinue && status < http.StatusOK
		if !isInterim || status == http.StatusSwitchingProtocols {
			return nil, errors.Wrapf(errInvalidStatus, "status %03d", status)
		}
	}
}

// discardResponse reads the body of a response to another request. It reports
// whether the next response can be read after it.
func (c *conn) discardResponse(response *http.Response) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false // the body ends only when the connection closes
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes
}
