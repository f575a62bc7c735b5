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

// Line is one line of a process's log that tells of a request.
type Line struct {
	Time     string
	Instance string
	Name     string
	// Fields are the line's other fields in the order of their names.
	Fields []Field
	// Raw is the line as it was written.
	Raw json.RawMessage
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value string
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// known are the fields that every line has or that have a column of their own.
var known = []string{"time", "instance", "name", "request_id", "level", "role", "event"}

// FindLines returns the lines of logs that tell of a request, in the order of their
// times. What stands before a line's object, as a collector may put there, and
// lines that are no objects are passed over.
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

func parseLine(text []byte, requestID string) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(requestID)) {
		return l, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[start:], &fields) != nil || plain(fields["request_id"]) != requestID {
		return l, false
	}
	l = Line{
		Time: plain(fields["time"]), Instance: plain(fields["instance"]), Name: plain(fields["name"]),
		Raw: bytes.Clone(text[start:]),
	}
	for name, value := range fields {
		if !slices.Contains(known, name) {
			l.Fields = append(l.Fields, Field{Name: name, Value: plain(value)})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

// plain returns a value as text without quotes.
func plain(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// WriteLines writes lines for people.
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
