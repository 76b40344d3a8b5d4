package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// tabPadding separates columns, in spaces.
const tabPadding = 2

func printJSON(w io.Writer, document json.RawMessage) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, document, "", "  "); err != nil {
		return errors.Wrap(err, "answer is not JSON")
	}
	_, err := fmt.Fprintln(w, indented.String())
	return err
}

// printTable prints a document for people: an object as names and values, a
// list of objects as a table with one column for each name.
func printTable(w io.Writer, document json.RawMessage) error {
	table := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	writeDocument(table, "", document)
	return table.Flush()
}

func writeDocument(w io.Writer, prefix string, document json.RawMessage) {
	if members, err := orderedMembers(document); err == nil {
		writeObject(w, prefix, members)
		return
	}
	var rows []json.RawMessage
	if json.Unmarshal(document, &rows) == nil && len(rows) > 0 && isObject(rows[0]) {
		writeRows(w, rows)
		return
	}
	fmt.Fprintf(w, "%s\t%s\n", strings.TrimSuffix(prefix, "."), cell(document))
}

// writeObject writes scalars before nested documents.
func writeObject(w io.Writer, prefix string, members []member) {
	var nested []member
	for _, m := range members {
		if isTable(m.value) || isObject(m.value) {
			nested = append(nested, m)
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\n", prefix, m.path, cell(m.value))
	}
	for _, m := range nested {
		if isTable(m.value) {
			fmt.Fprintf(w, "\n%s%s:\n", prefix, m.path)
			writeDocument(w, "", m.value)
			fmt.Fprintln(w)
			continue
		}
		writeDocument(w, prefix+m.path+".", m.value)
	}
}

func writeRows(w io.Writer, rows []json.RawMessage) {
	columns, cells := columnsOf(rows)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range cells {
		line := make([]string, len(columns))
		for i, column := range columns {
			line[i] = cell(row[column])
		}
		fmt.Fprintln(w, strings.Join(line, "\t"))
	}
}

// columnsOf returns the names that occur in rows, in order of appearance, and
// the rows by name.
func columnsOf(rows []json.RawMessage) (columns []string, cells []map[string]json.RawMessage) {
	seen := map[string]bool{}
	for _, row := range rows {
		members, err := orderedMembers(row)
		if err != nil {
			continue
		}
		named := make(map[string]json.RawMessage, len(members))
		for _, m := range members {
			named[m.path] = m.value
			if !seen[m.path] {
				seen[m.path] = true
				columns = append(columns, m.path)
			}
		}
		cells = append(cells, named)
	}
	return columns, cells
}

// cell returns a value on one line, strings without quotes.
func cell(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	if len(value) == 0 {
		return "-"
	}
	var compact bytes.Buffer
	if json.Compact(&compact, value) != nil {
		return string(value)
	}
	return compact.String()
}

func isObject(value json.RawMessage) bool {
	return len(value) > 0 && value[0] == '{'
}

// isTable reports whether a value is a list of objects.
func isTable(value json.RawMessage) bool {
	var rows []json.RawMessage
	return json.Unmarshal(value, &rows) == nil && len(rows) > 0 && isObject(rows[0])
}
