package configcheck

import (
	"bufio"
	"fmt"
	"io"
)

// WriteText writes the report for people: findings by line, then what would lose
// service, then the differences.
func (r *Report) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, f := range r.Findings {
		r.writeFinding(out, f)
	}
	if len(r.Losses) > 0 {
		fmt.Fprintln(out, "would lose service:")
		for _, l := range r.Losses {
			fmt.Fprintf(out, "  %s: %s\n", l.Path, l.Reason)
		}
	}
	if len(r.Differences) > 0 {
		fmt.Fprintln(out, "differences from the version in force:")
		for _, d := range r.Differences {
			writeDifference(out, d)
		}
	}
	fmt.Fprintf(out, "%s: %s format, %d errors, %d warnings, %d notes", r.File, r.Format, r.Count(Error), r.Count(Warning), r.Count(Note))
	if r.Compared {
		fmt.Fprintf(out, ", %d would lose service, %d differences\n", len(r.Losses), len(r.Differences))
	} else {
		fmt.Fprintln(out, ", not compared with a version in force")
	}
	return out.Flush()
}

func (r *Report) writeFinding(w io.Writer, f Finding) {
	place := r.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", r.File, f.Line)
	}
	path := ""
	if f.Path != "" {
		path = f.Path + ": "
	}
	fmt.Fprintf(w, "%s: %s: %s%s (%s)\n", place, f.Severity, path, f.Message, f.ID)
}

func writeDifference(w io.Writer, d Difference) {
	fmt.Fprintf(w, "  %-7s %s", d.Kind, d.Path)
	switch {
	case d.Before != nil && d.After != nil:
		fmt.Fprintf(w, ": %v -> %v", d.Before, d.After)
	case d.Before != nil:
		fmt.Fprintf(w, ": %v", d.Before)
	case d.After != nil:
		fmt.Fprintf(w, ": %v", d.After)
	}
	fmt.Fprintln(w)
}
