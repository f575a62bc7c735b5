package configurator_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/configurator"
)

const validEntry = `// An entry.
{
  "instance": {"name": "e1", "availability_zone": "a-1", "region": "a"},
  "platform": "127.0.0.1:7000",
  "listen_address": "127.0.0.1:0",
  "http_address": "127.0.0.1:0",
  "log_level": "info",
  "drain_timeout_ms": 1000,
  "max_body_bytes": 1000,
  "max_waiting": 10,
  "heartbeat_timeout_ms": 1000,
  "traffic_goroutines": 10, // a trailing comma is fine
}`

func TestErrorsContainFileLineAndField(t *testing.T) {
	for name, tc := range map[string]struct {
		from, to string
		line     int
		field    string
	}{
		"unknown field":       {`"max_waiting": 10`, `"max_wating": 10`, 10, "max_wating"},
		"wrong type":          {`"max_waiting": 10`, `"max_waiting": "ten"`, 10, "max_waiting"},
		"out of range":        {`"max_body_bytes": 1000`, `"max_body_bytes": 0`, 9, "max_body_bytes"},
		"not an IP":           {`"platform": "127.0.0.1:7000"`, `"platform": "localhost:7000"`, 4, "platform"},
		"nested field":        {`"region": "a"`, `"region": ""`, 3, "instance.region"},
		"missing certificate": {`"drain_timeout_ms": 1000`, `"drain_timeout_ms": 1000, "tls": {"key_file": "k", "authority_file": "a"}`, 8, "tls.certificate_file"},
		"unknown level":       {`"info"`, `"loud"`, 7, "log_level"},
		"missing field":       {`"http_address": "127.0.0.1:0",`, ``, 1, "http_address"},
		"negative ratio":      {`"max_waiting": 10`, `"retry_ratio": -1`, 10, "retry_ratio"},
		"negative memory":     {`"max_waiting": 10`, `"memory_mb": -1`, 10, "memory_mb"},
		"nested in callers":   {`"max_waiting": 10`, `"callers": {"max_connections": -1}`, 10, "callers.max_connections"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validEntry, tc.from, tc.to, 1)
			defaults := &configurator.Entry{MaxWaiting: 1}
			_, err := configurator.Parse("entry.jsonc", []byte(text), defaults)
			var file *configurator.FileError
			is.True(errors.As(err, &file))
			is.Equal(file.File, "entry.jsonc")
			is.Equal(file.Line, tc.line)
			var field *configurator.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Field, tc.field)
		})
	}
}

func TestSyntaxErrorContainsLine(t *testing.T) {
	is := is.New(t)
	_, err := configurator.Parse("entry.jsonc", []byte("{\n  \"a\": 1\n  \"b\": 2\n}"), &configurator.Entry{})
	var file *configurator.FileError
	is.True(errors.As(err, &file))
	is.Equal(file.Line, 3)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			var err error
			switch kind, _, _ := strings.Cut(filepath.Base(f), "-"); kind {
			case "entry":
				_, err = configurator.Load(f, &configurator.Entry{MaxBodyBytes: 1, MaxWaiting: 1, HeartbeatTimeoutMillis: 1, TrafficGoroutines: 1})
			case "sidecar":
				_, err = configurator.Load(f, &configurator.Sidecar{ClockSkewMillis: 1, Neighbors: 1, TrafficGoroutines: 1})
			case "endpoint":
				_, err = configurator.Load(f, &configurator.Endpoint{})
			default:
				_, err = configurator.Load(f, &configurator.Platform{})
			}
			is.NoErr(err)
		})
	}
}
