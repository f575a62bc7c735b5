package tracer_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/tracer"
)

const entryLog = `  9.81 edge-1 {"level":"info","time":"2026-03-28T07:56:59.64Z","name":"route_chosen","role":"entry","instance":"edge-1","request_id":"r1","endpoint":"i-1","load":15,"event":3001}
no object at all r1
{"level":"info","time":"2026-03-28T07:56:59.65Z","name":"route_chosen","instance":"edge-1","request_id":"r12","event":3001}
{"broken":"r1"
{"level":"warn","time":"2026-03-28T07:56:59.78Z","name":"request_unknown","instance":"edge-1","request_id":"r1","reason":"lost","event":3004}
`

const otherLog = `{"time":"2026-03-28T07:56:59.70Z","name":"endpoint_died","instance":"edge-2","request_id":"r1","endpoint":"i-1"}
`

func TestFindLines(t *testing.T) {
	tests := map[string]struct {
		id   string
		want []string
	}{
		"lines of several logs, sorted by time": {id: "r1", want: []string{"route_chosen", "endpoint_died", "request_unknown"}},
		"request with a longer id":              {id: "r12", want: []string{"route_chosen"}},
		"unknown":                               {id: "r3"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, err := tracer.FindLines(tc.id, strings.NewReader(entryLog), strings.NewReader(otherLog))
			is.NoErr(err)
			var names []string
			for _, l := range lines {
				names = append(names, l.Name)
			}
			is.Equal(names, tc.want)
		})
	}
}

func TestWriteLines(t *testing.T) {
	is := is.New(t)
	lines, err := tracer.FindLines("r1", strings.NewReader(entryLog))
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(tracer.WriteLines(&b, lines))
	is.Equal(b.String(), "2026-03-28T07:56:59.64Z edge-1 route_chosen\n    endpoint: i-1\n    load: 15\n"+
		"2026-03-28T07:56:59.78Z edge-1 request_unknown\n    reason: lost\n")
}

func TestFindLinesReportsUnreadableLog(t *testing.T) {
	is := is.New(t)
	_, err := tracer.FindLines("r1", io.MultiReader(strings.NewReader("x\n"), strings.NewReader(strings.Repeat("y", 2<<20))))
	is.True(err != nil)
}
