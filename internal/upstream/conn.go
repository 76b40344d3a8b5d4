package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/membership"
)

// Sizes of the buffers of a connection, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// inlineBody is up to which size a body is written before the answer is
	// read; a longer one is written beside, since the server may answer early.
	inlineBody = 2 << 10
	// maxForeign bounds the foreign answers that are skipped on a connection.
	maxForeign = 3
)

// conn is a connection to one life of a server. It carries one request at a
// time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	server membership.Server
	idle   time.Time // since when
	until  time.Time // when the server may close it
	reused bool
	spoilt bool // must not carry another request
}

func newConn(c net.Conn, server membership.Server) *conn {
	return &conn{
		net:    c,
		reader: bufio.NewReaderSize(c, readBuffer),
		writer: bufio.NewWriterSize(c, writeBuffer),
		server: server,
	}
}

// quiet reports whether nothing has come on an idle connection: neither bytes
// that belong to no request nor its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return quiet && err == nil
}

// write sends the request. The result tells whether all of it left.
func (c *conn) write(s *Request) error {
	w := c.writer
	_, _ = w.WriteString(s.Method + " " + s.Target + " HTTP/1.1\r\nHost: " + s.Host + "\r\n") // a bufio.Writer keeps its error for Flush
	if err := s.Header.Write(w); err != nil {
		return errors.Wrap(err, "write header")
	}
	if len(s.Body) > 0 || s.Method != http.MethodGet {
		_, _ = w.WriteString(contentLength(len(s.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(s.Body)
	return errors.Wrap(w.Flush(), "write request")
}

// answer reads the header of the next answer, without interim ones.
func (c *conn) answer(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// skip reads past a foreign answer of known length.
func (c *conn) skip(response *http.Response) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false // it ends with the connection
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err == nil
}
