package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	// connectAfter and sendAfter are the times from SIGTERM until early callers connect, which
	// is before the second missed check of readiness, and until they send their requests: less
	// than header_timeout_ms later.
	connectAfter = 1800 * time.Millisecond
	sendAfter    = 4600 * time.Millisecond
	// misses is how long the platform sends new connections to an entry that is not ready.
	misses       = 2 * time.Second
	graceTime    = 8 * time.Second
	earlyCallers = 5
	// longAnswer is the largest answer of the sheet: 50.7 events of 5 tokens.
	longAnswer = 253
)

// earlyResult is what became of the request of an early caller.
type earlyResult struct {
	id, text                 string
	wasSent, hasRun, isWhole bool
}

// stoppedEntry sends SIGTERM to an entry, to which some callers have just connected; they send
// their first request a little later.
func stoppedEntry(f *fleet, hasTrouble bool) error {
	seeds := f.seeds(0, 1)
	if err := f.prepare([]int{0, 1}, seeds); err != nil {
		return err
	}
	p := f.processes[entryName(0)]
	address := p.node.CallersAddress
	stoppedAt := time.Now()
	if hasTrouble {
		f.log.printf("SIGTERM to %s", entryName(0))
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		time.AfterFunc(misses, func() { f.callers.remove(address) })
		time.AfterFunc(graceTime, func() { _ = p.cmd.Process.Kill() })
	}
	results := make([]earlyResult, earlyCallers)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = f.callEarly(fmt.Sprint("early-", i), address, stoppedAt) })
	}
	wg.Wait()
	f.callers.stop()
	lost, sent := 0, 0
	for _, r := range results {
		f.log.printf("%s: sent %v, run %v, whole %v: %s", r.id, r.wasSent, r.hasRun, r.isWhole, r.text)
		if r.wasSent {
			sent++
		}
		if r.wasSent && r.hasRun && !r.isWhole {
			lost++
		}
	}
	if !hasTrouble && sent < earlyCallers {
		return fmt.Errorf("%d of %d early requests were sent", sent, earlyCallers)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests that were read whole and passed on have no complete answer", errBroken, lost)
	}
	return nil
}

// callEarly connects to an entry at once, and sends a request on the connection later.
func (f *fleet) callEarly(id, address string, stoppedAt time.Time) (r earlyResult) {
	r.id = id
	time.Sleep(time.Until(stoppedAt.Add(connectAfter)))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.text = err.Error()
		return r
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(time.Until(stoppedAt.Add(sendAfter)))
	body := "body of " + id
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: %s\r\nX-Token-Counts: 1290,%d\r\n", id, patience.Milliseconds(), model, longAnswer)
	fmt.Fprintf(&b, "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:1250\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	if _, err = conn.Write(b.Bytes()); err != nil {
		r.text = "not sent: " + err.Error()
		return r
	}
	sentAt := time.Now()
	r.wasSent = true
	_ = conn.SetReadDeadline(sentAt.Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.text = err.Error()
	} else {
		defer func() { _ = resp.Body.Close() }()
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		r.isWhole = err == nil
		r.text = fmt.Sprintf("%d, %d events, %v", resp.StatusCode, strings.Count(string(answer), "\n\n"), err)
	}
	r.text += fmt.Sprintf(", %.3f s after it was sent, %.3f s after SIGTERM", time.Since(sentAt).Seconds(), time.Since(stoppedAt).Seconds())
	r.hasRun = slices.ContainsFunc(f.engines, func(e *standin.Engine) bool { return len(e.RunsOf(id)) > 0 })
	return r
}
