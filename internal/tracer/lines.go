package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Line is one log line about a request.
type Line struct {
	Time     string
	Instance string
	Name     string
	// Fields are the other fields of the line, sorted by name.
	Fields []Field
	// Raw is the unchanged JSON object of the line.
	Raw json.RawMessage
}

// Field is a field of a Line with its value as text.
type Field struct {
	Name  string
	Value string
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// omittedFields are not in Line.Fields: every line has them, or Line has a field of
// its own for them.
var omittedFields = []string{"time", "instance", "name", "request_id", "level", "role", "event"}

// FindLines returns the log lines of a request, sorted by time. It ignores text
// before a line's JSON object, which a log collector may add, and lines without an
// object.
func FindLines(requestID string, logs ...io.Reader) (lines []Line, err error) {
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(make([]byte, bufio.MaxScanTokenSize), maxLineBytes)
		for s.Scan() {
			if l, ok := parseLine(s.Bytes(), requestID); ok {
				lines = append(lines, l)
			}
		}
		if err = s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return lines, nil
}

// parseLine decodes a log line; ok is false if it is not about the request.
func parseLine(text []byte, requestID string) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(requestID)) {
		return l, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[start:], &fields) != nil || unquote(fields["request_id"]) != requestID {
		return l, false
	}
	l = Line{
		Time: unquote(fields["time"]), Instance: unquote(fields["instance"]), Name: unquote(fields["name"]),
		Raw: bytes.Clone(text[start:]),
	}
	for name, value := range fields {
		if !slices.Contains(omittedFields, name) {
			l.Fields = append(l.Fields, Field{Name: name, Value: unquote(value)})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

// unquote returns a JSON value as text, a string without its quotes.
func unquote(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// WriteLines writes lines in a human-readable form.
func WriteLines(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s\n", l.Time, l.Instance, l.Name); err != nil {
			return err
		}
		for _, f := range l.Fields {
			if _, err := fmt.Fprintf(w, "    %s: %s\n", f.Name, f.Value); err != nil {
				return err
			}
		}
	}
	return nil
}
