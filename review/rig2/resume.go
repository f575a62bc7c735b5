package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// resumeRunners is the number of runners, of which one crashes: 0.125 of them.
	resumeRunners = 8
	resumeClients = 24
	// eventsBefore is the number of events that each caller has when its connection breaks.
	eventsBefore = 4
	// crashDelay is how long after the callers resume their streams the runner crashes: after its
	// heads and before its first events.
	crashDelay = 150 * time.Millisecond
)

// configureNotes writes a configuration with a service of plain runners whose streams may be
// resumed.
func (f *fleet) configureNotes() {
	f.store.PutConfiguration(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "notes", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 6000, "slo_ms": 500, "priority": 1,
			"service": notesService, "max_attempts": 2, "anonymous": false, "resumable": true, "gap_target_ms": 400,
		}},
		"services": []any{map[string]any{"name": notesService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants":  []any{map[string]any{"name": "w", "api_keys": []string{key}, "priority": 1}},
	})
}

// stream is what a caller gets of a stream.
type stream struct {
	status int
	// pieces are the numbers of the events.
	pieces []string
	// isComplete is set if the answer came to its end.
	isComplete bool
}

// readStream sends a request and reads its events: all of them, or the given number, after which
// the connection breaks.
func (f *fleet) readStream(id string, entry int, lastEvent string, events int) (s stream, err error) {
	//nolint:gosec // The address is a loopback address of the fleet.
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callersAddress(entry)+"/draft/1", strings.NewReader(id))
	if err != nil {
		return s, err
	}
	req.Host, req.Close = host, true
	for k, v := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "6000", "X-Api-Key": key, "Last-Event-Id": lastEvent} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	f.rec.log("send", fmt.Sprintf("%s entry-%d last event %q", id, entry, lastEvent))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	s.status = resp.StatusCode
	body := bufio.NewReader(resp.Body)
	for {
		line, rerr := body.ReadString('\n')
		if number, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			s.pieces = append(s.pieces, number)
		}
		if events > 0 && len(s.pieces) == events {
			return s, nil
		}
		if rerr != nil {
			s.isComplete = errors.Is(rerr, io.EOF)
			return s, nil
		}
	}
}

// startNotes starts the runners and the entries, and waits until a stream is served.
func (f *fleet) startNotes() (runners []*notesRunner, err error) {
	for i := range resumeRunners {
		r, err := f.startRunner(i)
		if err != nil {
			return runners, err
		}
		runners = append(runners, r)
	}
	for i := range machineEntries {
		if err = f.startEntry(i); err != nil {
			return runners, err
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s, err := f.readStream("warmup", 0, "", 0); err == nil && s.isComplete && len(s.pieces) == streamEvents {
			return runners, nil
		}
	}
	return runners, errors.New("no stream is served")
}

// crashRunner kills the first runner that has a resumed stream.
func (f *fleet) crashRunner(runners []*notesRunner) {
	for _, r := range runners {
		if r.runsOf("resumed-") > 0 {
			r.kill()
			f.rec.say("runner %s crashes", r.id)
			return
		}
	}
}

// runResume lets callers resume their streams while a runner crashes that has sent its heads and no
// event yet. It checks the rule ORDER.
func runResume(f *fleet, hasTrouble bool) (broken bool, err error) {
	f.configureNotes()
	runners, err := f.startNotes()
	defer func() {
		for _, r := range runners {
			r.kill()
		}
	}()
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var first, resumed sync.WaitGroup
	streams := make([]stream, resumeClients)
	failed := make([]error, resumeClients)
	go func() {
		first.Wait()
		time.Sleep(crashDelay)
		if hasTrouble {
			f.crashRunner(runners)
		}
	}()
	for i := range resumeClients {
		first.Add(1)
		resumed.Go(func() {
			s, ferr := f.readStream(fmt.Sprintf("first-%d", i), i%machineEntries, "", eventsBefore)
			first.Done()
			if failed[i] = ferr; ferr != nil || len(s.pieces) < eventsBefore {
				return
			}
			first.Wait()
			streams[i], failed[i] = f.readStream(fmt.Sprintf("resumed-%d", i), i%machineEntries, s.pieces[eventsBefore-1], 0)
		})
	}
	resumed.Wait()
	whole, short := f.countStreams(streams, failed)
	f.rec.say("of %d streams resumed after event %d of %d, %d are whole and %d end as complete before the last piece", resumeClients, eventsBefore, streamEvents, whole, short)
	if whole == 0 {
		return false, errors.New("no stream was served")
	}
	return short > 0, nil
}

// countStreams returns how many resumed streams are whole, and how many end as complete before
// their last piece.
func (f *fleet) countStreams(streams []stream, failed []error) (whole, short int) {
	for i, s := range streams {
		f.rec.log("answer", fmt.Sprintf("resumed-%d status=%d pieces=%v complete=%v err=%v", i, s.status, s.pieces, s.isComplete, failed[i]))
		switch {
		case s.status != http.StatusOK || failed[i] != nil || !s.isComplete:
		case len(s.pieces) == streamEvents-eventsBefore && s.pieces[len(s.pieces)-1] == fmt.Sprint(streamEvents):
			whole++
		default:
			short++
		}
	}
	return whole, short
}
