// Package options reads the settings file of a process. It is strict: an
// unknown, repeated or wrong field is an error that names the field's path and
// what was expected there.
package options

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// ExitStatus is the exit status of a program whose settings are wrong.
const ExitStatus = 2

// FieldError says what was expected at the path of a field.
type FieldError struct {
	Path string // dotted, with [i] for elements of lists; empty for the document
	Want string
	Got  string // may be empty
}

// Error returns path, expectation and finding in one line.
func (e *FieldError) Error() string {
	path := e.Path
	if path == "" {
		path = "document"
	}
	text := path + ": want " + e.Want
	if e.Got != "" {
		text += ", got " + e.Got
	}
	return text
}

// Validator is implemented by settings that have rules beyond their types.
type Validator interface {
	// Validate returns a *FieldError for the first field that breaks a rule.
	Validate() error
}

// Load reads a JSON file into dst, a pointer to a struct. Fields that the file
// does not name keep their values.
func Load(file string, dst any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.WithMessage(Decode(raw, dst), file)
}

// Decode reads a JSON document into dst as Load does.
func Decode(raw []byte, dst any) error {
	if err := check(raw, reflect.TypeOf(dst).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return typeError(err)
	}
	if v, ok := dst.(Validator); ok {
		return v.Validate()
	}
	return nil
}

// typeError names the path of a value that the JSON library could not store.
func typeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return &FieldError{Path: wrong.Field, Want: "a value that fits " + wrong.Type.String(), Got: wrong.Value}
	}
	return &FieldError{Want: "valid settings", Got: err.Error()}
}

// Required returns a FieldError for the first of the named string fields that
// is empty. Names and values alternate.
func Required(namesAndValues ...string) error {
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		if strings.TrimSpace(namesAndValues[i+1]) == "" {
			return &FieldError{Path: namesAndValues[i], Want: "a non-empty string"}
		}
	}
	return nil
}
