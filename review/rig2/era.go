package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

const (
	headerEra = "Store-Era"
	// revokeTime is revoke_ms of the smaller deployments.
	revokeTime = 5 * time.Second
	// copyAge is the age of the copy from which the store comes back, and rewriteAfter the time
	// after which what operator and runners wrote since is written again.
	copyAge, rewriteAfter = 7 * time.Second, 1800 * time.Millisecond
	// awayTime is how long the store is away before.
	awayTime = 300 * time.Millisecond
	// revokedInterval is the time between two requests with the revoked key at each entry.
	revokedInterval = 50 * time.Millisecond
)

// storeFrom is a store whose Store-Era begins at a number.
type storeFrom struct {
	store *standin.Store
	first int
	// answerTime is how long it takes for an answer.
	answerTime time.Duration
	listener   net.Listener
	server     *http.Server
}

func newStoreFrom(s *standin.Store, first int, answerTime time.Duration) (*storeFrom, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &storeFrom{store: s, first: first, answerTime: answerTime, listener: lis}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(lis) }()
	return e, nil
}

func (e *storeFrom) address() string { return e.listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (e *storeFrom) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(e.answerTime)
	e.store.ServeHTTP(&eraWriter{ResponseWriter: w, first: e.first}, r)
}

// eraWriter changes the era, which begins at 1 in the stand-in.
type eraWriter struct {
	http.ResponseWriter
	first int
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if era, err := strconv.Atoi(w.Header().Get(headerEra)); err == nil {
		w.Header().Set(headerEra, strconv.Itoa(era-1+w.first))
	}
	w.ResponseWriter.WriteHeader(status)
}

// runEra revokes a key. Later than revokeTime after that, the store comes back from an older copy
// and all entries are killed. It checks the rule CONFIG for revoked keys.
func runEra(f *fleet, hasTrouble bool) (broken bool, err error) {
	first := 0
	if s := os.Getenv("FIRST_ERA"); s != "" {
		first, _ = strconv.Atoi(s)
	}
	e, err := newStoreFrom(f.store, first, 0)
	if err != nil {
		return false, err
	}
	defer func() { _ = e.server.Close() }()
	f.storeAddress = e.address()
	f.keys = []string{key, revokedKey}
	f.configure(1, true)
	c := &client{fleet: f, rec: f.rec}
	engines, err := startMachines(f, 1)
	defer func() { closeEngines(engines) }()
	if err != nil {
		return false, err
	}
	if err = f.awaitReady(c); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	before := c.send(request{entry: 0, what: "before", prompt: soundPrompt(), key: revokedKey})
	f.rec.say("with the key before it is revoked: status %d", before.status)
	f.keys = []string{key}
	f.configure(2, true)
	revokedAt := time.Now()
	f.rec.say("version 2 of the configuration takes the key away")
	time.Sleep(revokeTime + 500*time.Millisecond)
	after := c.send(request{entry: 0, what: "after", prompt: soundPrompt(), key: revokedKey})
	f.rec.say("with the key after it was revoked: status %d", after.status)
	if hasTrouble {
		f.store.SetDown(true)
	}
	f.kill(f.running("entry-")...)
	time.Sleep(awayTime)
	if hasTrouble {
		f.store.Restore(standin.Restore{Age: copyAge, RewriteAfter: rewriteAfter})
		f.store.SetDown(false)
		f.rec.say("the store is back from a copy, %.1f s after the acknowledgement", time.Since(revokedAt).Seconds())
	}
	for i := range machineEntries {
		if err = f.startEntry(i); err != nil {
			return false, err
		}
	}
	ran, sent := c.sendRevoked(engines, revokedAt)
	last := c.send(request{entry: 0, what: "last", prompt: soundPrompt()})
	f.rec.say("with the other key at the end: status %d", last.status)
	f.rec.say("%d of %d requests that were sent with the key later than %v after the acknowledgement ran", ran, sent, revokeTime)
	if before.status != http.StatusOK || last.status != http.StatusOK {
		return false, fmt.Errorf("sound requests were not served: %d, %d", before.status, last.status)
	}
	return ran > 0, nil
}

// sendRevoked sends requests with the revoked key to all entries for a while. It returns how many of
// them ran, and their number.
func (c *client) sendRevoked(engines []*standin.Engine, revokedAt time.Time) (ran, sent int) {
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(revokedInterval) {
		for i := range machineEntries {
			wg.Go(func() {
				r := c.send(request{entry: i, what: "revoked", prompt: soundPrompt(), key: revokedKey})
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		}
	}
	wg.Wait()
	for _, r := range replies {
		for _, engine := range engines {
			for _, run := range engine.RunsOf(r.id) {
				ran++
				c.rec.logAt(run.At, "run", fmt.Sprintf("%s with the revoked key, sent %.3f s after the acknowledgement", r.id, r.sentAt.Sub(revokedAt).Seconds()))
			}
		}
	}
	return ran, len(replies)
}
