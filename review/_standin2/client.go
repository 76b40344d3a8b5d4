package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// call is a request of a client, on a connection of its own; for a generation if it has a prompt.
type call struct {
	attempt, path  string
	prompt, output int // tokens, the largest number of output tokens
	parts          string
	deadline       time.Duration
}

// answer is what a client got.
type answer struct {
	status  int // 0 if there was no answer
	body    string
	err     error // why the answer is not complete
	refused bool  // no connection
}

// send sends a request and reads its answer.
func (w *world) send(r *router, c call) (a answer) {
	w.note("%s sent to %s", c.attempt, r.node)
	defer func() {
		if a.err != nil {
			w.note("%s got status %d, %d bytes, not complete: %v", c.attempt, a.status, len(a.body), a.err)
			return
		}
		w.note("%s got status %d, complete, %d bytes", c.attempt, a.status, len(a.body))
	}()
	conn, err := dial(r)
	if err != nil {
		return answer{err: err, refused: true}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	generation := ""
	if c.prompt > 0 {
		generation = fmt.Sprintf("X-Camphorlever-Model: m\r\nX-Camphorlever-Token-Usage: %d,%d\r\nX-Camphorlever-Prompt-Prefix: %s\r\n", c.prompt, c.output, c.parts)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Camphorlever-Attempt-Id: %s\r\n%sX-Camphorlever-Deadline-Ms: %d\r\nAuthorization: Token key\r\nContent-Length: 2\r\n\r\nhi",
		c.path, standin.Host, c.attempt, generation, c.deadline.Milliseconds())
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}
