// Package configurator reads settings files in JSON with comments. It validates
// every field and rejects unknown ones; its errors contain file, line and field.
package configurator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker is implemented by settings. Check returns a *FieldError for the first
// invalid field.
type Checker interface {
	Check() error
}

// FieldError reports an invalid field of the settings.
type FieldError struct {
	// Field is the path of the field, such as "tls.key_file".
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// FileError reports an error in a settings file and its line; Line is 0 if it is
// not known.
type FileError struct {
	File  string
	Line  int
	Cause error
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads and validates a settings file. Fields that the file lacks keep their
// values from defaults.
func Load[T Checker](file string, defaults T) (settings T, err error) {
	var text []byte
	if text, err = os.ReadFile(file); err != nil {
		return defaults, &FileError{File: file, Cause: err}
	}
	return Parse(file, text, defaults)
}

// Parse decodes and validates settings. defaults must be a pointer to a struct;
// the settings are decoded into it, so fields that the text lacks keep their values.
func Parse[T Checker](file string, text []byte, defaults T) (settings T, err error) {
	var tree hujson.Value
	if tree, err = hujson.Parse(text); err != nil {
		return defaults, &FileError{File: file, Line: syntaxErrorLine(err), Cause: err}
	}
	plain := tree.Clone()
	plain.Standardize()
	standardJSON := plain.Pack()
	d := json.NewDecoder(bytes.NewReader(standardJSON))
	d.DisallowUnknownFields()
	if err = d.Decode(defaults); err != nil {
		return defaults, decodeError(file, standardJSON, err)
	}
	if err = defaults.Check(); err != nil {
		return defaults, checkError(file, text, tree, err)
	}
	return defaults, nil
}

var unknownFieldPattern = regexp.MustCompile(`^json: unknown field "(.*)"$`)

func decodeError(file string, text []byte, err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		field := &FieldError{Field: te.Field, Problem: "must be a " + te.Type.String() + ", not a " + te.Value}
		return &FileError{File: file, Line: lineAt(text, int(te.Offset)), Cause: field}
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		offset := bytes.Index(text, []byte(`"`+m[1]+`"`))
		return &FileError{File: file, Line: lineAt(text, offset), Cause: &FieldError{Field: m[1], Problem: "is not known"}}
	}
	return &FileError{File: file, Cause: err}
}

// checkError adds the line of the invalid field to an error of Check. A missing
// field gets the line of its nearest parent that the text contains.
func checkError(file string, text []byte, tree hujson.Value, err error) error {
	var fe *FieldError
	if !errors.As(err, &fe) {
		return &FileError{File: file, Cause: err}
	}
	for path := fe.Field; path != ""; path = parentPath(path) {
		if v := tree.Find("/" + strings.ReplaceAll(path, ".", "/")); v != nil {
			return &FileError{File: file, Line: lineAt(text, v.StartOffset), Cause: err}
		}
	}
	return &FileError{File: file, Line: 1, Cause: err}
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// lineAt returns the line at offset, counted from 1; 0 if there is no such offset.
func lineAt(text []byte, offset int) int {
	if offset < 0 || offset > len(text) {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

var hujsonLinePattern = regexp.MustCompile(`line (\d+)`)

func syntaxErrorLine(err error) int {
	m := hujsonLinePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 0
	}
	var line int
	if _, err = fmt.Sscan(m[1], &line); err != nil {
		return 0
	}
	return line
}
