package acceptor_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/acceptor"
)

func encode(e acceptor.Envelope) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}

func record(id, subject string, base uint64) []byte {
	return encode(acceptor.Envelope{SchemaVersion: 1, RecordID: id, Subject: subject, Base: base, Body: json.RawMessage(`{}`)})
}

// drawLog generates a log with concurrent publishes, copies, malformed records
// and tombstones.
func drawLog(t *rapid.T) []acceptor.LogRecord {
	n := rapid.IntRange(0, 40).Draw(t, "records")
	var log []acceptor.LogRecord
	for i := range n {
		offset := uint64(i + 1)
		kind := rapid.SampledFrom([]string{"record", "copy", "malformed", "deleted"}).Draw(t, "kind")
		subject := rapid.SampledFrom([]string{"model:a", "model:b", "workspace:c"}).Draw(t, "subject")
		base := uint64(rapid.IntRange(0, i).Draw(t, "base"))
		data := record(fmt.Sprint("id-", i), subject, base)
		switch {
		case kind == "copy" && i > 0:
			data = log[rapid.IntRange(0, i-1).Draw(t, "of")].Data
		case kind == "malformed":
			data = []byte(`{"schema_version": 0}`)
		case kind == "deleted":
			data = encode(acceptor.Envelope{SchemaVersion: 7, RecordID: fmt.Sprint("id-", i), Subject: subject, Base: base, Deleted: true})
		}
		log = append(log, acceptor.LogRecord{Offset: offset, Data: data})
	}
	return log
}

func TestStateDoesNotDependOnPaging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		log := drawLog(t)
		whole, outcomes := acceptor.State{}.WithRecords(log)
		var paged acceptor.State
		for rest := log; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "page")
			paged, _ = paged.WithRecords(rest[:n])
			rest = rest[n:]
		}
		is.Equal(whole.Digest(), paged.Digest())
		is.Equal(whole.LastOffset(), paged.LastOffset())
		is.Equal(len(outcomes), len(log))
	})
}

func TestAcceptedOffsetsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		log := drawLog(t)
		var s acceptor.State
		winners := map[string]bool{}
		for _, r := range log {
			next, outcomes := s.WithRecords([]acceptor.LogRecord{r})
			for _, o := range outcomes {
				before, _ := s.RecordFor(o.Subject)
				after, _ := next.RecordFor(o.Subject)
				if o.Verdict != acceptor.VerdictAccepted {
					is.Equal(before.Offset, after.Offset) // a rejected record changes nothing
					continue
				}
				is.Equal(after.Offset, r.Offset)
				is.Equal(after.Envelope.Base, before.Offset)
				subjectAndBase := fmt.Sprint(o.Subject, "/", after.Envelope.Base)
				is.True(!winners[subjectAndBase]) // one accepted record for each base
				winners[subjectAndBase] = true
			}
			s = next
		}
	})
}

func TestMergedPeerStateEqualsLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		log := drawLog(t)
		whole, _ := acceptor.State{}.WithRecords(log)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		behind, _ := acceptor.State{}.WithRecords(log[:cut])
		var accepted []acceptor.LogRecord
		for _, a := range whole.RecordsAfter(behind.LastOffset()) {
			accepted = append(accepted, acceptor.LogRecord{Offset: a.Offset, Data: a.Data})
		}
		got, err := behind.WithAcceptedRecords(whole.LastOffset(), whole.Digest(), accepted)
		is.NoErr(err)
		is.Equal(got.Digest(), whole.Digest())
		var regression *acceptor.RegressionError
		if behind.LastOffset() < whole.LastOffset() {
			_, err = got.WithAcceptedRecords(behind.LastOffset(), behind.Digest(), nil)
			is.True(errors.As(err, &regression)) // an older state is rejected
		}
		if len(accepted) > 0 {
			var mismatch *acceptor.DigestError
			_, err = behind.WithAcceptedRecords(whole.LastOffset(), whole.Digest(), accepted[1:])
			is.True(errors.As(err, &mismatch)) // a missing record is detected
		}
	})
}

func TestParseEnvelopeReportsInvalidField(t *testing.T) {
	for name, tc := range map[string]struct{ data, field string }{
		"not json":      {`{`, "record"},
		"no schema":     {`{"record_id":"a","subject":"model:a","body":{}}`, "schema_version"},
		"no id":         {`{"schema_version":1,"subject":"model:a","body":{}}`, "record_id"},
		"bad subject":   {`{"schema_version":1,"record_id":"a","subject":"a b","body":{}}`, "subject"},
		"no body":       {`{"schema_version":1,"record_id":"a","subject":"model:a"}`, "body"},
		"deleted body":  {`{"schema_version":1,"record_id":"a","subject":"model:a","deleted":true,"body":{}}`, "body"},
		"trailing data": {`{"schema_version":1,"record_id":"a","subject":"model:a","body":{}} {}`, "record"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := acceptor.ParseEnvelope([]byte(tc.data))
			var ee *acceptor.EnvelopeError
			is.True(errors.As(err, &ee))
			is.Equal(ee.Field, tc.field)
		})
	}
}

func FuzzParseEnvelope(f *testing.F) {
	f.Add(record("a", "model:a", 0))
	f.Add([]byte(`{"schema_version":2,"record_id":"a","subject":"model:a","deleted":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := acceptor.ParseEnvelope(data)
		if err != nil {
			return
		}
		s, outcomes := acceptor.State{}.WithRecords([]acceptor.LogRecord{{Offset: 1, Data: data}})
		accepted := outcomes[0].Verdict == acceptor.VerdictAccepted
		if accepted != (e.Base == 0) || s.LastOffset() != 1 {
			t.Fatalf("envelope %+v: verdict %s", e, outcomes[0].Verdict)
		}
	})
}
