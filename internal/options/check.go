package options

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// checker compares a JSON document token by token with the Go type that it will
// be decoded into.
type checker struct {
	dec *json.Decoder
}

// checkDocument returns a *FieldError for the first unknown, repeated or mistyped
// field of a document, for a syntax error, and for data after the document.
func checkDocument(raw []byte, t reflect.Type) error {
	c := checker{dec: json.NewDecoder(bytes.NewReader(raw))}
	c.dec.UseNumber()
	if err := c.checkValue("", t); err != nil {
		return err
	}
	if _, err := c.dec.Token(); err != io.EOF {
		return &FieldError{Want: "nothing after the end of the document"}
	}
	return nil
}

// checkValue checks the next value of the document against a type.
func (c *checker) checkValue(path string, t reflect.Type) error {
	pointer := t.Kind() == reflect.Pointer
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if hasCustomDecoder(t) {
		return c.skipValue(path)
	}
	token, err := c.dec.Token()
	if err != nil {
		return syntaxError(path, err)
	}
	if token == nil && acceptsNull(t, pointer) {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.checkStruct(path, t, token)
	case reflect.Map:
		return c.checkMap(path, t, token)
	case reflect.Slice, reflect.Array:
		return c.checkList(path, t, token)
	default:
		return checkScalar(path, t, token)
	}
}

// acceptsNull reports whether null is allowed for a type: encoding/json writes nil
// pointers, slices and maps as null.
func acceptsNull(t reflect.Type, pointer bool) bool {
	return pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map
}

// hasCustomDecoder reports whether a type decodes its JSON itself or is an
// interface, so that its values cannot be checked here.
func hasCustomDecoder(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return t.Kind() == reflect.Interface || p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// skipValue skips one value of any type.
func (c *checker) skipValue(path string) error {
	var raw json.RawMessage
	if err := c.dec.Decode(&raw); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

func (c *checker) checkStruct(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return &FieldError{Path: path, Want: "an object", Got: describeToken(token)}
	}
	fields := fieldsOf(t)
	return c.checkMembers(path, func(name string) (reflect.Type, error) {
		if field, ok := fields[name]; ok {
			return field, nil
		}
		return nil, &FieldError{Path: joinPath(path, name), Want: "one of the fields " + joinFieldNames(fields), Got: "an unknown field"}
	})
}

func (c *checker) checkMap(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return &FieldError{Path: path, Want: "an object", Got: describeToken(token)}
	}
	return c.checkMembers(path, func(string) (reflect.Type, error) { return t.Elem(), nil })
}

// checkMembers checks the members of an object including the closing brace.
func (c *checker) checkMembers(path string, typeOf func(name string) (reflect.Type, error)) error {
	seen := map[string]bool{}
	for c.dec.More() {
		token, err := c.dec.Token()
		if err != nil {
			return syntaxError(path, err)
		}
		name, _ := token.(string) // the decoder returns only strings as member names
		if seen[name] {
			return &FieldError{Path: joinPath(path, name), Want: "one value", Got: "a repeated field"}
		}
		seen[name] = true
		t, err := typeOf(name)
		if err != nil {
			return err
		}
		if err := c.checkValue(joinPath(path, name), t); err != nil {
			return err
		}
	}
	return c.readClosingDelimiter(path)
}

func (c *checker) checkList(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('[') {
		return &FieldError{Path: path, Want: "a list", Got: describeToken(token)}
	}
	for i := 0; c.dec.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
	return c.readClosingDelimiter(path)
}

// readClosingDelimiter reads the closing brace or bracket of an object or a
// list.
func (c *checker) readClosingDelimiter(path string) error {
	if _, err := c.dec.Token(); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

func checkScalar(path string, t reflect.Type, token json.Token) error {
	want, ok := "", false
	switch t.Kind() {
	case reflect.String:
		want = "a string"
		_, ok = token.(string)
	case reflect.Bool:
		want = "true or false"
		_, ok = token.(bool)
	case reflect.Float32, reflect.Float64:
		want = "a number"
		_, ok = token.(json.Number)
	default:
		want = "a whole number"
		number, isNumber := token.(json.Number)
		ok = isNumber && !strings.ContainsAny(number.String(), ".eE")
	}
	if !ok {
		return &FieldError{Path: path, Want: want, Got: describeToken(token)}
	}
	return nil
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" || (field.Anonymous && name == "") {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = field.Type
	}
	return fields
}

func joinFieldNames(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeToken returns the kind or the value of a token for an error message.
func describeToken(token json.Token) string {
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return v.String()
	case bool:
		return fmt.Sprint(v)
	default:
		return "null"
	}
}

func syntaxError(path string, err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return &FieldError{Path: path, Want: "valid JSON", Got: err.Error()}
}
