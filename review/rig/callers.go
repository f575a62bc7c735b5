package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// interval is the time between two requests of callers, and patience their deadline.
	interval = 50 * time.Millisecond
	patience = 6 * time.Second
	// tries is how often a caller sends a request that was refused.
	tries = 2
)

// request is one request of a caller, with what became of it.
type request struct {
	sentAt time.Time
	served bool
}

// callers send requests to the entries that run.
type callers struct {
	log    *eventLog
	client *http.Client

	mu       sync.Mutex
	entries  []string
	next     int
	requests []*request
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func newCallers(l *eventLog) *callers {
	return &callers{log: l, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

func (c *callers) add(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, entry)
}

func (c *callers) remove(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.DeleteFunc(c.entries, func(e string) bool { return e == entry })
}

// entry returns the entry that gets the next attempt; empty if none runs.
func (c *callers) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	if len(c.entries) == 0 {
		return ""
	}
	return c.entries[c.next%len(c.entries)]
}

// start sends requests until stop is called.
func (c *callers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			r := &request{sentAt: time.Now()}
			c.mu.Lock()
			c.requests = append(c.requests, r)
			c.mu.Unlock()
			c.wg.Go(func() { c.send(n, r) })
			<-ticker.C
		}
	})
}

func (c *callers) stop() {
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
	c.wg.Wait()
}

// send sends a request, and once more if it is refused.
func (c *callers) send(n int, r *request) {
	ctx, cancel := context.WithDeadline(context.Background(), r.sentAt.Add(patience))
	defer cancel()
	var served bool
	var results []string
	for try := range tries {
		id := fmt.Sprintf("q%d-%d", n, try)
		result, after, isServed := c.attempt(ctx, id, time.Until(r.sentAt.Add(patience)))
		results = append(results, id+" "+result)
		if served = isServed; served {
			break
		}
		select {
		case <-time.After(after):
		case <-ctx.Done():
		}
	}
	c.log.recordf("request sent at %.3f s: %s", r.sentAt.Sub(c.log.startedAt).Seconds(), strings.Join(results, "; "))
	c.mu.Lock()
	defer c.mu.Unlock()
	r.served = served
}

// attempt sends a request to an entry. It returns what the caller got and the time after which
// to come back.
func (c *callers) attempt(ctx context.Context, id string, left time.Duration) (result string, after time.Duration, served bool) {
	const defaultPause = 300 * time.Millisecond
	entry := c.entry()
	if entry == "" {
		return "no entry runs", defaultPause, false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/r/1", strings.NewReader("body of "+id))
	if err != nil {
		return err.Error(), defaultPause, false
	}
	r.Host = "h.example"
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "X-Model": model, "X-Token-Counts": "300,60",
		"X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:260", "X-Api-Key": key,
	} {
		r.Header.Set(k, v)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return "to " + entry + ": " + err.Error(), defaultPause, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	served = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Stamp") != "" && len(body) > 0
	if seconds, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
		after = time.Duration(seconds * float64(time.Second))
	} else {
		after = defaultPause
	}
	result = fmt.Sprintf("to %s: %d, %d bytes, %v", entry, resp.StatusCode, len(body), err)
	if !served && len(body) > 0 {
		result += ", " + strings.TrimSpace(string(body[:min(len(body), 200)]))
	}
	return result, after, served
}

// count returns the requests that were sent in a span, and how many of them were served.
func (c *callers) count(from, until time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.sentAt.Before(from) || !r.sentAt.Before(until) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}

// report writes the totals.
func (c *callers) report(l *eventLog) {
	sent, served := c.count(time.Time{}, time.Now().Add(time.Hour))
	l.printf("%d requests sent, %d served", sent, served)
}
