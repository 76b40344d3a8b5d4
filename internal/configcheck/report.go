// Package configcheck checks a configuration before it is published. It reports what
// routers would refuse, what can have no effect, limits that contradict each other, and
// the differences from the version in force.
//
// Validation is that of the routers: settings.Tree for the project's own format, the
// decoder of the platform for the other. Findings work on catalog.Draft or
// settings.Tree, so that names and layouts of a platform stay in its adapter.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// Severity says how a finding affects the exit status.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // routers refuse the configuration, or a part of it cannot work
	Warning Severity = "warning" // probably a mistake
	Note    Severity = "note"    // for information
)

// Exit statuses of a check.
const (
	StatusClean    = 0
	StatusWarnings = 1 // only in strict mode
	StatusErrors   = 2
)

// Format is the format of a configuration file.
type Format string

// Formats. Auto selects one of the others by the names in the file.
const (
	Own      Format = "own"
	Platform Format = "platform"
	Auto     Format = "auto"
)

// Finding is one observation about a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	ID       string   `json:"id"`   // stable
	Path     string   `json:"path"` // empty for the document
	Line     int      `json:"line"` // from 1; 0 if unknown
	Message  string   `json:"message"`
}

// Loss is a part of the configuration that would lose service.
type Loss struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Difference is a value that differs from the version in force. Before and After are
// set only for scalars.
type Difference struct {
	Kind   string `json:"kind"` // added, removed or changed
	Path   string `json:"path"` // with elements of lists by name
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Report is the result of a check.
type Report struct {
	File        string       `json:"file"`
	Format      Format       `json:"format"`
	Findings    []Finding    `json:"findings"`
	Compared    bool         `json:"compared"` // with the version in force
	Losses      []Loss       `json:"losses"`
	Differences []Difference `json:"differences"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(severity Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// Status returns the exit status. In strict mode, warnings and losses of service count.
func (r *Report) Status(strict bool) int {
	switch {
	case r.Count(Error) > 0:
		return StatusErrors
	case strict && (r.Count(Warning) > 0 || len(r.Losses) > 0):
		return StatusWarnings
	default:
		return StatusClean
	}
}

// AddFinding adds a finding about the whole document.
func (r *Report) AddFinding(severity Severity, id, message string) {
	r.Findings = append(r.Findings, Finding{Severity: severity, ID: id, Message: message})
}

// PlatformFormat decodes the format of a platform.
type PlatformFormat struct {
	Decode func(raw []byte) (*catalog.Draft, error)
	Names  catalog.Names
}

// Input is a configuration to check.
type Input struct {
	File     string // name for messages
	Raw      []byte
	Format   Format
	Platform PlatformFormat
	// Active returns the version in force in a format, nil if none is known. It is
	// called at most once.
	Active func(Format) ([]byte, error)
}

// Check checks a configuration.
func Check(in Input) *Report {
	report := &Report{File: in.File, Format: in.Format, Findings: []Finding{}, Losses: []Loss{}, Differences: []Difference{}}
	doc, err := parse(in.Raw)
	if err != nil {
		report.refuse(doc, "", err)
		return report
	}
	detected := detect(doc, in.Platform.Names)
	switch {
	case report.Format == Auto:
		report.Format = detected
	case report.Format != detected:
		report.AddFinding(Warning, "format-unlikely", "the names in the file are not those of the selected format")
	}
	if report.Format == Auto {
		report.AddFinding(Error, "unknown-format", "the names in the file are those of no known format; select one with --format")
		return report
	}
	active := report.readActive(in)
	report.checkRepeated(doc)
	if report.Format == Platform {
		checkPlatform(report, doc, active, in.Platform)
	} else {
		checkOwn(report, doc, active)
	}
	if active != nil {
		report.Compared = true
		report.compare(doc, active, in.Platform.Names)
	}
	slices.SortStableFunc(report.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.ID, b.ID))
	})
	return report
}

// readActive reads the version in force, nil if there is none or it cannot be read.
func (r *Report) readActive(in Input) *document {
	if in.Active == nil {
		return nil
	}
	raw, err := in.Active(r.Format)
	if err != nil {
		r.AddFinding(Warning, "active-unread", "no comparison: the version in force cannot be read: "+err.Error())
		return nil
	}
	if raw == nil {
		return nil
	}
	doc, err := parse(raw)
	if err != nil {
		r.AddFinding(Error, "active-unreadable", "the version in force: "+err.Error())
		return nil
	}
	return doc
}

// checkRepeated reports members that an object has twice: decoders use the last one.
func (r *Report) checkRepeated(doc *document) {
	for _, m := range doc.repeated {
		r.Findings = append(r.Findings, Finding{
			Severity: Warning, ID: "repeated-member", Path: m.path, Line: doc.line(m.offset),
			Message: fmt.Sprintf("is there before, in line %d; the last one counts", doc.line(m.previous)),
		})
	}
}
