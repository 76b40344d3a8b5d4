// Package explain tells the story of one request from the routers' logs.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of what is shown and read.
const (
	// before is how far back changes of what the router believed are shown.
	before = 15 * time.Second
	// maxBeliefs bounds how many of them are shown.
	maxBeliefs = 12
	// maxLine bounds a log line, in bytes.
	maxLine = 1 << 20
)

// ErrNotFound means that no line names the request. It went well and was not
// sampled, never reached a router, or its lines were left out or not given.
var ErrNotFound = errors.New("no log line names this request")

// line is one log line.
type line struct {
	fields map[string]any
	node   string
	at     time.Time
}

// Story is what the logs say of one request.
type Story struct {
	Request   string
	Node      string // router that took it
	decisions []line
	beliefs   []line
	dropped   int64 // lines that the router left out near it
}

// Read finds the lines of a request in logs, which may come from several
// routers and in any order. Text before the line's first brace is left out.
func Read(request string, logs ...io.Reader) (*Story, error) {
	var all []line
	for _, log := range logs {
		lines, err := parse(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	s := &Story{Request: request}
	for _, l := range all {
		if l.text("request") == request {
			s.decisions = append(s.decisions, l)
			s.Node = l.node
		}
	}
	if len(s.decisions) == 0 {
		return nil, errors.Wrap(ErrNotFound, request)
	}
	sort.SliceStable(s.decisions, func(i, j int) bool { return s.decisions[i].since() < s.decisions[j].since() })
	s.believe(all)
	return s, nil
}

func parse(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[at:], &fields) != nil {
			continue // not one of the routers' lines
		}
		l := line{fields: fields}
		l.node = l.text("node")
		l.at = time.UnixMilli(int64(l.number("time")))
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read logs")
}

func (l line) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func (l line) number(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}

// since is when a decision was made, in milliseconds after the request came.
func (l line) since() float64 { return l.number("at") }

// believe picks what changed in the router's knowledge before the request
// ended, as far as it concerns the request.
func (s *Story) believe(all []line) {
	end := s.last().at
	concerned := s.names()
	for _, l := range all {
		if l.node != s.Node || l.text("request") != "" || l.at.After(end) || end.Sub(l.at) > before {
			continue
		}
		if l.text("message") == "lines were left out" {
			s.dropped += int64(l.number("lines"))
		}
		if concerns(l, concerned) {
			s.beliefs = append(s.beliefs, l)
		}
	}
	sort.SliceStable(s.beliefs, func(i, j int) bool { return s.beliefs[i].at.Before(s.beliefs[j].at) })
	if extra := len(s.beliefs) - maxBeliefs; extra > 0 {
		s.beliefs = s.beliefs[extra:]
	}
}

func (s *Story) last() line { return s.decisions[len(s.decisions)-1] }

// names lists the servers and accounts of the request.
func (s *Story) names() []string {
	var names []string
	for _, l := range s.decisions {
		for _, field := range []string{"server", "account"} {
			if name := l.text(field); name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// concerns reports whether a change of belief touches the request: one of its
// names, or the settings, the log or the process as a whole.
func concerns(l line, names []string) bool {
	for _, field := range []string{"server", "account"} {
		if name := l.text(field); name != "" {
			return slices.Contains(names, name)
		}
	}
	return l.text("router") == ""
}

// outcomes says in words what each end of a request means.
var outcomes = map[string]string{
	"answered":           "The caller got its whole answer in time.",
	"late":               "The caller got its whole answer, later than the route's objective: see the attempt that took long, and the server's in_flight against mean.",
	"budget_exhausted":   "The account's prepaid tokens did not cover the request, or the last of them are kept for smaller ones: compare bound with hand and ledger in the line on tokens.",
	"budget_unreachable": "The router had too few of the account's tokens and could not draw more: see log_away, and when budget entries could not be written.",
	"not_found":          "No route had the host and path in the settings named there.",
	"unauthorized":       "No account had the key in the settings named there.",
	"not_ready":          "The router had not read the settings, or could not make sure that they were the newest.",
	"stopping":           "The router was being stopped and the request would have been cut.",
	"no_server":          "No server could be reached, or none of the service was known.",
	"overloaded":         "The servers refused without running it, and no further attempt was allowed.",
	"backend_failed":     "The answer had begun and broke off; the request could not go on elsewhere.",
	"outcome_unknown":    "The request reached a server that gave no usable answer; it may have run, so nothing is promised.",
	"deadline_exceeded":  "The server did not answer before the caller's deadline or the route's timeout.",
	"caller_gone":        "The caller closed its connection before the answer.",
	"body_too_large":     "The body was above the limit in the settings.",
	"bad_request":        "The body did not come whole.",
}

// Print writes the story for people.
func (s *Story) Print(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s, %s\n", s.Request, s.Node, s.last().at.UTC().Format(time.RFC3339))
	if len(s.beliefs) > 0 {
		b.WriteString("what the router had learned before:\n")
	}
	end := s.last()
	arrived := end.at.Add(-time.Duration(end.since() * float64(time.Millisecond)))
	for _, l := range s.beliefs {
		fmt.Fprintf(&b, "  %9.0f ms  %s%s\n", float64(l.at.Sub(arrived).Milliseconds()), l.text("message"), l.inputs())
	}
	b.WriteString("what it decided:\n")
	for _, l := range s.decisions {
		fmt.Fprintf(&b, "  %9.1f ms  %s%s\n", l.since(), l.text("message"), l.inputs())
	}
	if s.dropped > 0 {
		fmt.Fprintf(&b, "note: %d lines were left out near it\n", s.dropped)
	}
	if cause := outcomes[end.text("outcome")]; cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", cause)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "print")
}

// common fields stand elsewhere in the story.
var common = []string{"level", "node", "time", "message", "part", "request", "at"}

// inputs lists the other fields of a line by name.
func (l line) inputs() string {
	var names []string
	for name, value := range l.fields {
		if !slices.Contains(common, name) && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "  %s=%v", name, short(l.fields[name]))
	}
	return b.String()
}

// short prints whole numbers without an exponent and others with one digit.
func short(value any) any {
	n, ok := value.(float64)
	if !ok {
		return value
	}
	if n == float64(int64(n)) {
		return int64(n)
	}
	return fmt.Sprintf("%.1f", n)
}
