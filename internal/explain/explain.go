// Package explain reconstructs from the routers' logs how one request was
// handled: the decisions made on it and the state changes of the router that
// preceded them.
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

// Limits on what is read and printed.
const (
	// stateChangeWindow is how long before the end of the request a state change of
	// the router may lie and still be printed.
	stateChangeWindow = 15 * time.Second
	// maxStateChanges limits how many state changes are printed; the newest
	// are kept.
	maxStateChanges = 12
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// ErrNotFound means that no log line names the request. Either it succeeded and
// was not sampled, or it never reached a router, or its lines were dropped or are
// not in the given logs.
var ErrNotFound = errors.New("no log line names this request")

// line is one parsed log line.
type line struct {
	fields map[string]any
	node   string
	at     time.Time
}

// Report holds the log lines that concern one request.
type Report struct {
	Request      string
	Node         string // name of the router that handled the request
	decisions    []line
	stateChanges []line
	dropped      int64 // number of log lines that the router dropped around the request
}

// Read collects the lines of a request from logs, which may come from several
// routers and be in any order. Text before the first brace of a line is ignored,
// and so are lines without valid JSON. Read returns ErrNotFound if no line names
// the request, and an error if a log cannot be read or has a line longer than
// maxLineBytes.
func Read(request string, logs ...io.Reader) (*Report, error) {
	var all []line
	for _, log := range logs {
		lines, err := parse(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	report := &Report{Request: request}
	for _, l := range all {
		if l.stringField("request") == request {
			report.decisions = append(report.decisions, l)
			report.Node = l.node
		}
	}
	if len(report.decisions) == 0 {
		return nil, errors.Wrap(ErrNotFound, request)
	}
	sort.SliceStable(report.decisions, func(i, j int) bool { return report.decisions[i].sinceArrival() < report.decisions[j].sinceArrival() })
	report.collectStateChanges(all)
	return report, nil
}

func parse(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue // not written by a router
		}
		l := line{fields: fields}
		l.node = l.stringField("node")
		l.at = time.UnixMilli(int64(l.numberField("time")))
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read logs")
}

func (l line) stringField(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func (l line) numberField(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}

// sinceArrival returns when a decision was made, in milliseconds after the
// arrival of the request.
func (l line) sinceArrival() float64 { return l.numberField("at") }

// collectStateChanges selects the router's state changes within
// stateChangeWindow before the end of the request that are relevant to it.
func (r *Report) collectStateChanges(all []line) {
	end := r.lastDecision().at
	subjects := r.subjects()
	for _, l := range all {
		if l.node != r.Node || l.stringField("request") != "" || l.at.After(end) || end.Sub(l.at) > stateChangeWindow {
			continue
		}
		if l.stringField("message") == "lines were left out" {
			r.dropped += int64(l.numberField("lines"))
		}
		if isRelevant(l, subjects) {
			r.stateChanges = append(r.stateChanges, l)
		}
	}
	sort.SliceStable(r.stateChanges, func(i, j int) bool { return r.stateChanges[i].at.Before(r.stateChanges[j].at) })
	if extra := len(r.stateChanges) - maxStateChanges; extra > 0 {
		r.stateChanges = r.stateChanges[extra:]
	}
}

func (r *Report) lastDecision() line { return r.decisions[len(r.decisions)-1] }

// subjects returns the backend servers, client accounts and prompt parts that the
// decisions on the request name.
func (r *Report) subjects() []string {
	var names []string
	for _, l := range r.decisions {
		for _, field := range subjectFields {
			if name := l.stringField(field); name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// subjectFields are the fields by which a state change is relevant to a request, the
// first of them that a line has.
var subjectFields = []string{"prompt_part", "server", "account"}

// isRelevant reports whether a state change is relevant to the request: it names
// one of the given prompt parts, servers or accounts, or concerns the settings, the log
// or the process as a whole. Changes that concern another router are not relevant.
func isRelevant(l line, names []string) bool {
	for _, field := range subjectFields {
		if name := l.stringField(field); name != "" {
			return slices.Contains(names, name)
		}
	}
	return l.stringField("router") == ""
}

// outcomeExplanations maps each outcome of a request to its explanation for
// operators.
var outcomeExplanations = map[string]string{
	"answered":           "The caller got its whole answer in time.",
	"late":               "The caller got its whole answer, later than the route's objective: see the attempt that took long, and the server's in_flight against mean.",
	"budget_exhausted":   "The account's prepaid tokens did not cover the request, or the last of them are kept for smaller ones: compare bound with hand and ledger in the line on tokens.",
	"budget_unreachable": "The router had too few of the account's tokens and could not draw more: see log_away, and when budget entries could not be written.",
	"not_found":          "No route had the host and path in the settings named there.",
	"unauthorized":       "No account had the key in the settings named there.",
	"not_ready":          "The router had not read the settings, or could not make sure that they were the newest.",
	"stopping":           "The router was being stopped and the request would have been cut.",
	"no_server":          "No server could be reached, or none of the service was known.",
	"prompt_quarantined": "A part of the prompt was in a request at successive crashes of servers, and nothing with it was answered: see the servers named there. The part is tried again after retry_after.",
	"overloaded":         "The servers refused without running it, and no further attempt was allowed.",
	"backend_failed":     "The answer had begun and broke off; the request could not go on elsewhere.",
	"outcome_unknown":    "The request reached a server that gave no usable answer; it may have run, so nothing is promised.",
	"deadline_exceeded":  "The server did not answer before the caller's deadline or the route's timeout.",
	"caller_gone":        "The caller closed its connection before the answer.",
	"body_too_large":     "The body was above the limit in the settings.",
	"bad_request":        "The body did not come whole.",
}

// Print writes the report as text for operators.
func (r *Report) Print(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s, %s\n", r.Request, r.Node, r.lastDecision().at.UTC().Format(time.RFC3339))
	if len(r.stateChanges) > 0 {
		b.WriteString("what the router had learned before:\n")
	}
	last := r.lastDecision()
	arrived := last.at.Add(-time.Duration(last.sinceArrival() * float64(time.Millisecond)))
	for _, l := range r.stateChanges {
		fmt.Fprintf(&b, "  %9.0f ms  %s%s\n", float64(l.at.Sub(arrived).Milliseconds()), l.stringField("message"), l.formatFields())
	}
	b.WriteString("what it decided:\n")
	for _, l := range r.decisions {
		fmt.Fprintf(&b, "  %9.1f ms  %s%s\n", l.sinceArrival(), l.stringField("message"), l.formatFields())
	}
	if r.dropped > 0 {
		fmt.Fprintf(&b, "note: %d lines were left out near it\n", r.dropped)
	}
	if cause := outcomeExplanations[last.stringField("outcome")]; cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", cause)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "print")
}

// omittedFields are left out when the fields of a line are printed: they appear
// elsewhere in the report or say nothing about the decision.
var omittedFields = []string{"level", "node", "time", "message", "part", "request", "at"}

// formatFields formats the non-empty fields of a line that are not in omittedFields,
// sorted by name.
func (l line) formatFields() string {
	var names []string
	for name, value := range l.fields {
		if !slices.Contains(omittedFields, name) && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "  %s=%v", name, formatValue(l.fields[name]))
	}
	return b.String()
}

// formatValue formats whole numbers without an exponent and other numbers with one
// decimal. Other values are returned unchanged.
func formatValue(value any) any {
	n, ok := value.(float64)
	if !ok {
		return value
	}
	if n == float64(int64(n)) {
		return int64(n)
	}
	return fmt.Sprintf("%.1f", n)
}
