// Package options reads the settings file of a process. It is strict: an
// unknown, repeated or mistyped field is an error that names the field's path and
// the expected value.
package options

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// ExitStatus is the exit status of a program whose settings are invalid.
const ExitStatus = 2

// FieldError is the error for a field whose value is not the expected one.
type FieldError struct {
	Path string // dotted, with [i] for elements of lists; empty for the document
	Want string
	Got  string // may be empty
}

// Error returns the path, the expected and the actual value on one line.
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

// Validator is implemented by settings with constraints that their types do not
// express.
type Validator interface {
	// Validate returns a *FieldError for the first field that violates a constraint.
	Validate() error
}

// Load reads a JSON file into dst, a pointer to a struct. Fields that are missing
// from the file keep their values. Errors are those of reading the file, a
// *FieldError with the file name, or the error of the Validator.
func Load(file string, dst any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.WithMessage(Decode(raw, dst), file)
}

// Decode decodes a JSON document into dst, a pointer to a struct, and validates it
// if dst is a Validator. Fields that are missing from the document keep their
// values.
func Decode(raw []byte, dst any) error {
	if err := checkDocument(raw, reflect.TypeOf(dst).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return convertUnmarshalError(err)
	}
	if v, ok := dst.(Validator); ok {
		return v.Validate()
	}
	return nil
}

// convertUnmarshalError converts an error of encoding/json to a *FieldError, with
// the path of the value that does not fit its Go type, such as a number that is
// out of range.
func convertUnmarshalError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{Path: typeErr.Field, Want: "a value that fits " + typeErr.Type.String(), Got: typeErr.Value}
	}
	return &FieldError{Want: "valid settings", Got: err.Error()}
}

// Required returns a *FieldError for the first of the named string fields that is
// empty or blank. The arguments are pairs of a field's name and its value.
func Required(namesAndValues ...string) error {
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		if strings.TrimSpace(namesAndValues[i+1]) == "" {
			return &FieldError{Path: namesAndValues[i], Want: "a non-empty string"}
		}
	}
	return nil
}
