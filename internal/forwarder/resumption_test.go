package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondWithBody responds with a status, a signature and a body with a length.
func respondWithBody(code int, body string) handler {
	return respondRaw(fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", code, len(body), body), func(net.Conn) {})
}

// TestOnlyResumptionsFollow guards against bytes of a second endpoint that follow those of a first one though they
// are not the events after them, and against a stream that looks complete when the second one answers something
// else.
func TestOnlyResumptionsFollow(t *testing.T) {
	const secret = "secret"
	closed := func(net.Conn) {}
	const streamHead = signedHead + "Content-Type: text/event-stream; charset=utf-8\r\n"
	breaks := map[string]func(data string) handler{
		"chunks, ended": func(data string) handler {
			return respondRaw(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", streamHead, len(data), data), closed)
		},
		"no length, reset": func(data string) handler { return respondRaw(streamHead+"\r\n", sendThenReset(data)) },
	}
	nexts := map[string]handler{
		"failure":                         respondWithBody(500, secret),
		"failure as an event":             respondWithBody(500, "id: 6\ndata: secret\n\n"),
		"failure without a length":        respondRaw("HTTP/1.1 500 X\r\nId: ID\r\n\r\n"+secret, closed),
		"failure, cut":                    respondRaw("HTTP/1.1 500 X\r\nId: ID\r\nContent-Length: 10\r\n\r\n"+secret, closed),
		"client's fault":                  respondWithBody(400, secret),
		"full":                            respondWithBody(503, secret),
		"moved":                           respondWithBody(302, secret),
		"success of text":                 respondWithBody(200, secret),
		"success of lines":                respondWithBody(200, secret+"\n\n"),
		"success of JSON":                 respondWithBody(200, "{\"error\": \"secret\"}\n\n"),
		"head as the body":                respondWithBody(200, "HTTP/1.1 500 X\r\nX: secret\r\n\r\n"),
		"text that is no answer":          respondRaw(secret, closed),
		"event without an ID":             respondWithBody(200, "event: error\ndata: secret\n\n"),
		"event without an ID, then ended": respondRaw(unframedHead+"data: secret\n\n", closed),
		"event with another kind of ID":   respondWithBody(200, "id: secret\ndata: x\n\n"),
		"comment":                         respondRaw(streamHead+"Content-Length: 10\r\n\r\n: secret\n\n", closed),
		"comment and no event":            respondRaw(unframedHead+": secret\n\n", closed),
		"other success":                   respondWithBody(201, "id: 6\ndata: secret\n\n"),
		"no content":                      respondRaw("HTTP/1.1 204 X\r\nId: ID\r\nStamp: s\r\n\r\n", closed),
		"no events of another type":       respondRaw(signedHead+"Content-Type: application/json\r\nContent-Length: 0\r\n\r\n", closed),
		"no events of no type":            respondWithBody(200, ""),
		"events from the beginning":       respondWithBody(200, events(1, 3)),
		"the last event again":            respondWithBody(200, event(5)),
		"not signed":                      respondRaw("HTTP/1.1 200 X\r\nId: ID\r\nContent-Length: 21\r\n\r\n"+event(6), closed),
		"no event":                        respondRaw(unframedHead, closed),
		"no event, HTTP/1.0":              respondRaw("HTTP/1.0 200 X\r\nId: ID\r\nStamp: s\r\n\r\n", closed),
		"cut head":                        respondRaw(signedHead, closed),
		"status 000":                      respondRaw("HTTP/1.1 000 X\r\nId: ID\r\nStamp: s\r\nContent-Length: 21\r\n\r\n"+event(6), closed),
		"blank in a name":                 respondRaw("HTTP/1.1 200 X\r\nSe cret: x\r\nId: ID\r\nStamp: s\r\nContent-Length: 21\r\n\r\n"+event(6), closed),
	}
	for how, broken := range breaks {
		for name, next := range nexts {
			t.Run(how+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := firstThen(broken(events(1, 5)), next)
				got := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h)).callPatiently(t, "stream")
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.aborted, name != "comment")
				is.Equal(got.body, events(1, 5))
			})
		}
	}
}

// TestStreamWithoutIDsIsNotResumed guards against events that come twice, as an endpoint can't tell after which
// event it has to go on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const plain = "data: a\n\ndata: b\n\n"
	tests := map[string]struct {
		first string
		// want is the body if the stream is resumed with event 6, and empty if it breaks off.
		want string
	}{
		"no IDs":                  {first: plain},
		"last one without":        {first: events(1, 5) + "data: end\n\n"},
		"some without, before":    {first: plain + events(1, 5), want: plain + events(1, 6)},
		"IDs that are no numbers": {first: "id: x\ndata: a\n\n", want: "id: x\ndata: a\n\n" + event(6)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := firstThen(respondRaw(unframedHead, sendThenReset(tc.first)), respondWithBody(200, event(6)))
			got := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h)).callPatiently(t, "stream")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.aborted, tc.want == "")
			if tc.want == "" {
				tc.want = tc.first
			}
			is.Equal(got.body, tc.want)
		})
	}
}

// TestSilentStreamWithoutIDsIsNotReplaced is TestStreamWithoutIDsIsNotResumed for an endpoint that falls silent.
func TestSilentStreamWithoutIDsIsNotReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var begun atomic.Int32
	h := func(_ *endpoint, w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(callerIdleTimeout - 100*time.Millisecond):
		}
		_, _ = io.WriteString(w, "data: b\n\n")
	}
	f := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h))
	dispatchWhileRunning(t, f)
	got := f.call(t.Context(), t, "steady")
	is.Equal(got.aborted, false)
	is.Equal(got.body, "data: a\n\ndata: b\n\n")
	is.Equal(begun.Load(), int32(1))
}
