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

// checker walks a JSON document along the type that it is to be stored in.
type checker struct {
	dec *json.Decoder
}

// check refuses a document with unknown, repeated or mistyped fields, or with
// anything after it.
func check(raw []byte, t reflect.Type) error {
	c := checker{dec: json.NewDecoder(bytes.NewReader(raw))}
	c.dec.UseNumber()
	if err := c.value("", t); err != nil {
		return err
	}
	if _, err := c.dec.Token(); err != io.EOF {
		return &FieldError{Want: "nothing after the end of the document"}
	}
	return nil
}

// value checks the next value of the document.
func (c *checker) value(path string, t reflect.Type) error {
	pointer := t.Kind() == reflect.Pointer
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if decodesItself(t) {
		return c.skip(path)
	}
	token, err := c.dec.Token()
	if err != nil {
		return syntaxError(path, err)
	}
	if token == nil && mayBeNull(t, pointer) {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.object(path, t, token)
	case reflect.Map:
		return c.mapping(path, t, token)
	case reflect.Slice, reflect.Array:
		return c.list(path, t, token)
	default:
		return scalar(path, t, token)
	}
}

// mayBeNull reports whether the JSON library writes an empty value of a type,
// or of a pointer to it, as null.
func mayBeNull(t reflect.Type, pointer bool) bool {
	return pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map
}

// decodesItself reports whether a type has its own idea of its JSON.
func decodesItself(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return t.Kind() == reflect.Interface || p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

// skip passes over one value of any form.
func (c *checker) skip(path string) error {
	var any json.RawMessage
	if err := c.dec.Decode(&any); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

func (c *checker) object(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return &FieldError{Path: path, Want: "an object", Got: describe(token)}
	}
	fields := fieldsOf(t)
	return c.members(path, func(name string) (reflect.Type, error) {
		if field, ok := fields[name]; ok {
			return field, nil
		}
		return nil, &FieldError{Path: join(path, name), Want: "one of the fields " + names(fields), Got: "an unknown field"}
	})
}

func (c *checker) mapping(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('{') {
		return &FieldError{Path: path, Want: "an object", Got: describe(token)}
	}
	return c.members(path, func(string) (reflect.Type, error) { return t.Elem(), nil })
}

// members checks the members of an object up to its end.
func (c *checker) members(path string, typeOf func(name string) (reflect.Type, error)) error {
	seen := map[string]bool{}
	for c.dec.More() {
		token, err := c.dec.Token()
		if err != nil {
			return syntaxError(path, err)
		}
		name, _ := token.(string) // the decoder gives only strings here
		if seen[name] {
			return &FieldError{Path: join(path, name), Want: "one value", Got: "a repeated field"}
		}
		seen[name] = true
		t, err := typeOf(name)
		if err != nil {
			return err
		}
		if err := c.value(join(path, name), t); err != nil {
			return err
		}
	}
	return c.end(path)
}

func (c *checker) list(path string, t reflect.Type, token json.Token) error {
	if token != json.Delim('[') {
		return &FieldError{Path: path, Want: "a list", Got: describe(token)}
	}
	for i := 0; c.dec.More(); i++ {
		if err := c.value(fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
	return c.end(path)
}

// end reads the closing bracket of an object or a list.
func (c *checker) end(path string) error {
	if _, err := c.dec.Token(); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

func scalar(path string, t reflect.Type, token json.Token) error {
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
		return &FieldError{Path: path, Want: want, Got: describe(token)}
	}
	return nil
}

// fieldsOf returns the fields of a struct by their JSON names.
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

func names(fields map[string]reflect.Type) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describe names the form of a token.
func describe(token json.Token) string {
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
