package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// document is a JSON object with the positions of its values.
type document struct {
	raw      []byte
	members  []member         // of the document itself, in their order
	offsets  map[string]int64 // of values and of their names, by path
	newlines []int64          // offsets
	repeated []repeatedMember
}

// member is a top-level member.
type member struct {
	name  string
	value json.RawMessage
}

// repeatedMember is a member with the name of an earlier one of the same object.
type repeatedMember struct {
	path             string
	offset, previous int64
}

// parse reads a JSON object. If it fails, the document only converts offsets to lines.
func parse(raw []byte) (*document, error) {
	d := &document{raw: raw, offsets: map[string]int64{}}
	for i, b := range raw {
		if b == '\n' {
			d.newlines = append(d.newlines, int64(i))
		}
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := d.index(dec, "", 0); err != nil {
		return d, err
	}
	end := dec.InputOffset()
	if _, err := dec.Token(); err != io.EOF {
		return d, &positionError{offset: end + 1, err: errors.New("want nothing after the end of the document")}
	}
	if first := bytes.TrimLeft(raw, " \t\r\n"); first[0] != '{' {
		return d, errors.New("want a JSON object")
	}
	return d, nil
}

// positionError is an error at an offset of the document.
type positionError struct {
	offset int64
	err    error
}

// Error returns the text of the error.
func (e *positionError) Error() string { return e.err.Error() }

// Unwrap returns the error without its position.
func (e *positionError) Unwrap() error { return e.err }

// index records the offsets in the next value, which has a path.
func (d *document) index(dec *json.Decoder, path string, depth int) error {
	token, err := dec.Token()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return &positionError{offset: dec.InputOffset(), err: err}
	}
	switch token {
	case json.Delim('{'):
		return d.indexObject(dec, path, depth)
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			if err := d.index(dec, element, depth+1); err != nil {
				return err
			}
			if _, ok := d.offsets[element]; !ok {
				d.offsets[element] = dec.InputOffset()
			}
		}
		_, err = dec.Token()
	default:
		d.offsets[path] = dec.InputOffset()
	}
	if err != nil {
		return &positionError{offset: dec.InputOffset(), err: err}
	}
	return nil
}

func (d *document) indexObject(dec *json.Decoder, path string, depth int) error {
	d.offsets[path] = dec.InputOffset()
	seen := map[string]int64{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return &positionError{offset: dec.InputOffset(), err: err}
		}
		name, _ := token.(string) // members of objects have string names
		offset := dec.InputOffset()
		if depth == 0 {
			name = strings.Trim(name, "/") // as camphorctl settings apply does
		}
		inner := join(path, name)
		if previous, ok := seen[name]; ok {
			d.repeated = append(d.repeated, repeatedMember{path: inner, offset: offset, previous: previous})
		}
		seen[name] = offset
		if err := d.index(dec, inner, depth+1); err != nil {
			return err
		}
		if depth == 0 {
			value := bytes.TrimLeft(d.raw[offset:dec.InputOffset()], ": \t\r\n")
			d.members = append(d.members, member{name: name, value: value})
		}
		d.offsets[inner] = offset
	}
	if _, err := dec.Token(); err != nil {
		return &positionError{offset: dec.InputOffset(), err: err}
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// line returns the line of an offset, from 1.
func (d *document) line(offset int64) int {
	return 1 + sort.Search(len(d.newlines), func(i int) bool { return d.newlines[i] >= offset })
}

// lineOf returns the line of a path, or that of the innermost value around it, 0 if
// there is none.
func (d *document) lineOf(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return d.line(offset)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut <= 0 {
			return 0
		}
		path = path[:cut]
	}
}

// detect returns the format of a document, Auto if its names are those of none.
func detect(doc *document, names catalog.Names) Format {
	for _, m := range doc.members {
		if settings.Path(m.name).Valid() {
			return Own
		}
		if m.name == names.Routes || m.name == names.Services || m.name == names.Accounts {
			return Platform
		}
	}
	return Auto
}

// refuse adds the error for which routers refuse a document or a part of it. Prefix is
// the path of the part.
func (r *Report) refuse(doc *document, prefix string, err error) {
	finding := Finding{Severity: Error, ID: "refused", Path: prefix, Message: err.Error()}
	var field *options.FieldError
	var mistyped *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	var position *positionError
	switch {
	case errors.As(err, &field):
		finding.Path = join(prefix, field.Path)
		if field.Path == "" {
			finding.Path = prefix
		}
		finding.Line = doc.lineOf(finding.Path)
		finding.Message = (&options.FieldError{Path: finding.Path, Want: field.Want, Got: field.Got}).Error()
		finding.Message = strings.TrimPrefix(finding.Message, finding.Path+": ")
	case errors.As(err, &mistyped):
		finding.Path = doc.pathAt(mistyped.Offset)
		finding.Line = doc.line(mistyped.Offset)
		finding.Message = "want " + describeType(mistyped.Type) + ", got " + mistyped.Value
	case errors.As(err, &syntax):
		finding.Line = doc.line(syntax.Offset)
	case errors.As(err, &position):
		finding.Line = doc.line(position.offset)
	default:
		finding.Line = doc.lineOf(prefix)
	}
	r.Findings = append(r.Findings, finding)
}

// describeType returns the JSON that a type is decoded from.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// pathAt returns the path of the last value that begins at or before an offset.
func (d *document) pathAt(offset int64) string {
	best, at := "", int64(-1)
	for path, o := range d.offsets {
		if o <= offset && (o > at || o == at && path > best) {
			best, at = path, o
		}
	}
	return best
}
