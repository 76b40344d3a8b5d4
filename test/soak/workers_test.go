package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

// Load of the soak.
const (
	promptTokens   = 100
	sharedTokens   = 60 // of the prompt, with all callers
	tokensPerEvent = 4  // as the settings say
	eventGap       = 4 * time.Millisecond
	workTime       = 15 * time.Millisecond
	deadlyPart     = "dead" // crashes workers
	pauseFor       = 1500 * time.Millisecond
	preemptedFor   = 600 * time.Millisecond // longer than a router waits before it asks another worker
)

func (w *worker) setGrey(way string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = way
}

// answer does what a backend server does with a request, and notes what it ran.
func (w *worker) answer(n *notes, conn net.Conn, r *http.Request, crash func(attempt string)) {
	w.mu.Lock()
	grey, id := w.grey, w.ID
	w.mu.Unlock()
	sent := standin.ParseForwardedRequest(r)
	if sent.ExpectedServer != "" && sent.ExpectedServer != id {
		say(conn, standin.MisdirectedResponse(id))
		return
	}
	if grey == "refuse" {
		say(conn, standin.NotExecutedResponse(sent.AttemptID))
		return
	}
	if grey == "pause" {
		n.turnedAway(sent.AttemptID, id, pauseFor)
		say(conn, standin.PauseResponse(sent.AttemptID, pauseFor))
		return
	}
	n.runs(run{attempt: sent.AttemptID, account: sent.Account, worker: id, service: w.service, path: r.URL.Path, at: time.Now()})
	if grey == "preempt" && rand.IntN(2) == 0 {
		time.Sleep(preemptedFor)
		grey = ""
	}
	_, events := parsePath(r.URL.Path)
	if slices.Contains(sent.PromptParts, deadlyPart) {
		time.Sleep(workTime)
		if strings.HasSuffix(sent.AttemptID, "0") || strings.HasSuffix(sent.AttemptID, "5") { // some crash after they have begun to answer
			say(conn, standin.StreamResponseHead(sent.AttemptID)+standin.Chunk(standin.FormatEvent(1, sent.AttemptID))+standin.Chunk(standin.FormatEvent(2, sent.AttemptID)))
			time.Sleep(eventGap)
		}
		crash(sent.AttemptID)
		return
	}
	switch {
	case grey == "hang-up":
		_ = conn.Close()
	case grey == "fail":
		say(conn, standin.CompleteResponse(sent.AttemptID, http.StatusInternalServerError, "bad"))
	case events > 0:
		stream(conn, sent, events, grey)
	default:
		whole(conn, sent.AttemptID, r.URL.Path, grey)
	}
}

// answerEarly answers a request with a part, before its body was read, and resets the
// connection. It reports whether it has.
func (w *worker) answerEarly(n *notes, conn net.Conn, r *http.Request) bool {
	w.mu.Lock()
	grey, id := w.grey, w.ID
	w.mu.Unlock()
	sent := standin.ParseForwardedRequest(r)
	if grey != "early" || (sent.ExpectedServer != "" && sent.ExpectedServer != id) || slices.Contains(sent.PromptParts, deadlyPart) {
		return false
	}
	n.runs(run{attempt: sent.AttemptID, account: sent.Account, worker: id, service: w.service, path: r.URL.Path, at: time.Now()})
	head, part := "\r\n", sent.AttemptID
	if _, events := parsePath(r.URL.Path); events > 0 {
		head, part = "Content-Type: text/event-stream\r\n\r\n", standin.FormatEvent(sent.LastEventID+1, sent.AttemptID)
	}
	say(conn, standin.ResponseHead(sent.AttemptID, http.StatusOK, head+part))
	hardClose(conn)
	return true
}

// noise sends bytes that are no answer until the router closes the connection: random ones, or
// events without numbers.
func noise(conn net.Conn, seed byte, frame func(string) string) {
	random, block := rand.NewChaCha8([32]byte{seed}), make([]byte, 4<<10)
	for ok := true; ok; {
		_, _ = random.Read(block) // never fails
		text := string(block)
		if seed%2 == 0 {
			text = strings.Repeat("data: noise\n\n", 300)
		}
		ok = say(conn, frame(text))
	}
}

// say writes to a router. It may be gone, which is a fault like others.
func say(conn net.Conn, text string) (ok bool) {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// body names the request that an answer belongs to.
func body(attempt, path string) string { return attempt + " " + path }

// withOddStatus gives a response of status 200 a status that no response to a request has.
func withOddStatus(response string) string {
	odd := []string{" 000 ", " 099 ", " 101 ", " 600 "}
	return strings.Replace(response, " 200 ", odd[rand.IntN(len(odd))], 1)
}

func whole(conn net.Conn, attempt, path, grey string) {
	time.Sleep(workTime)
	if grey == "foreign" {
		attempt = "somebody-else"
	}
	answer := standin.CompleteResponse(attempt, http.StatusOK, body(attempt, path))
	switch grey {
	case "noise":
		say(conn, standin.ResponseHead(attempt, http.StatusOK, "\r\n"+body(attempt, path)))
		noise(conn, attempt[len(attempt)-1], func(text string) string { return text })
	case "odd-status":
		say(conn, withOddStatus(standin.ResponseHead(attempt, http.StatusOK, "\r\n"))+standin.CompleteResponse(attempt, http.StatusOK, "evil"))
	case "half-head":
		say(conn, answer[:strings.Index(answer, "\r\n\r\n")])
		_ = conn.Close()
	case "half":
		say(conn, answer[:len(answer)-2])
		_ = conn.Close()
	case "extra":
		say(conn, answer+standin.CompleteResponse(attempt, http.StatusOK, "evil"))
	case "say-leaving":
		say(conn, standin.Leaving(answer))
	default:
		say(conn, answer)
	}
}

// stream sends the events after the one that the caller has.
func stream(conn net.Conn, sent standin.ForwardedRequest, events int, grey string) {
	head := standin.StreamResponseHead(sent.AttemptID)
	if grey == "say-leaving" {
		head = standin.Leaving(head)
	}
	if grey == "odd-status" {
		head = withOddStatus(head)
	}
	say(conn, head)
	for i := sent.LastEventID + 1; i <= events; i++ {
		time.Sleep(eventGap)
		if grey == "noise" && i > sent.LastEventID+2 {
			noise(conn, sent.AttemptID[len(sent.AttemptID)-1], standin.Chunk)
			return
		}
		if grey == "preempt" && i == (sent.LastEventID+events)/2+1 {
			time.Sleep(preemptedFor)
		}
		if grey == "cut-stream" && i > sent.LastEventID+2 {
			_ = conn.Close()
			return
		}
		if !say(conn, standin.Chunk(standin.FormatEvent(i, sent.AttemptID))) {
			return
		}
	}
	say(conn, standin.FinalChunk)
}

// parsePath returns a request's kind and how many events it asks for.
func parsePath(path string) (kind string, events int) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) > 2 {
		events, _ = strconv.Atoi(parts[1]) // paths are our own
	}
	return parts[0], events
}
