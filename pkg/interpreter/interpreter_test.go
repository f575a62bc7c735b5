package interpreter_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

func envelope(schema int, subject, body string) acceptor.Envelope {
	return acceptor.Envelope{SchemaVersion: schema, RecordID: "r", Subject: subject, Body: json.RawMessage(body)}
}

const (
	plain  = `{"kind":"plain","idempotent":false,"endpoint_concurrency":8,"default_deadline_ms":1000}`
	market = `{"weight":1,"priority":0,"routes":[{"service":"orders"}]}`
	bursty = `{"weight":1,"priority":0,"routes":[{"service":"orders"}],"burst":{"requests_per_second":5,"requests":10}}`
)

func TestValidateReportsInvalidField(t *testing.T) {
	digest := strings.Repeat("0", 64)
	for name, tc := range map[string]struct {
		schema              int
		subject, body, want string
	}{
		"valid service":      {1, "service:orders", plain, ""},
		"valid workspace":    {1, "workspace:w", market, ""},
		"valid burst":        {2, "workspace:w", bursty, ""},
		"burst in schema 1":  {1, "workspace:w", bursty, "burst"},
		"unknown field":      {1, "workspace:w", `{"weigth":1}`, "body"},
		"no routes":          {1, "workspace:w", `{"weight":1,"routes":[]}`, "routes"},
		"two routes":         {1, "workspace:w", `{"weight":1,"routes":[{"service":"a"},{"service":"a"}]}`, "routes"},
		"unknown kind":       {1, "planet:mars", `{}`, "subject"},
		"invalid digest":     {1, "model:m", `{"service":"s","version_digest":"12","prefer":"time","min_replicas":1,"max_replicas":1,"origin_copies":1}`, "version_digest"},
		"min over max":       {1, "model:m", `{"service":"s","version_digest":"` + digest + `","prefer":"time","min_replicas":2,"max_replicas":1,"origin_copies":1}`, "min_replicas"},
		"invalid preference": {1, "model:m", `{"service":"s","version_digest":"` + digest + `","prefer":"speed","min_replicas":1,"max_replicas":1,"origin_copies":1}`, "prefer"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := interpreter.Validate(envelope(tc.schema, tc.subject, tc.body))
			if tc.want == "" {
				is.NoErr(err)
				return
			}
			var be *interpreter.BodyError
			is.True(errors.As(err, &be))
			is.Equal(be.Field, tc.want)
		})
	}
}

// Binaries with different schema versions accept the same records. A binary that
// can't decode the accepted record rejects requests for the subject and does not
// revert to the previous record.
func TestSchemaVersionDoesNotAffectAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var s acceptor.State
		offset, base := uint64(0), uint64(0)
		newest := 0
		for i := range rapid.IntRange(1, 10).Draw(t, "records") {
			schema := rapid.IntRange(1, 2).Draw(t, "schema")
			e := envelope(schema, "workspace:w", map[int]string{1: market, 2: bursty}[schema])
			e.RecordID = fmt.Sprint("r", i)
			e.Base = rapid.SampledFrom([]uint64{base, base, 99}).Draw(t, "base")
			data, err := json.Marshal(e)
			is.NoErr(err)
			offset++
			var outcomes []acceptor.Outcome
			s, outcomes = s.WithRecords([]acceptor.LogRecord{{Offset: offset, Data: data}})
			if outcomes[0].Verdict == acceptor.VerdictAccepted {
				base, newest = offset, schema
			}
		}
		oldView, newView := interpreter.Interpret(s, interpreter.SchemaV1), interpreter.Interpret(s, interpreter.SchemaV2)
		if newest == 0 {
			return
		}
		is.Equal(newView.Workspaces["w"].Offset, base)
		if newest == interpreter.SchemaV1 {
			is.Equal(oldView.Workspaces["w"].Offset, base)
			return
		}
		_, readable := oldView.Workspaces["w"]
		is.True(!readable)
		_, err := oldView.Resolve("w", "orders")
		var unreadable *interpreter.UnreadableSubjectError
		is.True(errors.As(err, &unreadable))
		is.Equal(unreadable.Offset, base)
	})
}
