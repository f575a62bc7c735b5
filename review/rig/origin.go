package main

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

// origin is the origin of weights. It can spoil one answer on its way.
type origin struct {
	log    *eventLog
	sound  *standin.Origin
	server *http.Server
	lis    net.Listener

	mu sync.Mutex
	// spoilsManifest is set if the next manifest is spoilt.
	spoilsManifest bool
	answers        int
}

func newOrigin(w *standin.Weights, l *eventLog) (o *origin, err error) {
	o = &origin{log: l}
	if o.sound, err = standin.NewOrigin(w); err != nil {
		return nil, err
	}
	if o.lis, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: time.Minute}
	go func() { _ = o.server.Serve(o.lis) }()
	return o, nil
}

func (o *origin) address() string { return o.lis.Addr().String() }

func (o *origin) close() {
	_ = o.server.Close()
	o.sound.Close()
}

// spoilNextManifest makes the origin send the next manifest with one digit changed.
func (o *origin) spoilNextManifest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoilsManifest, o.answers = true, 0
}

// answersSent returns the number of answers since the manifest was to be spoilt.
func (o *origin) answersSent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isManifest := strings.HasPrefix(r.URL.Path, "/-/manifest/")
	o.mu.Lock()
	o.answers++
	spoils := isManifest && o.spoilsManifest
	if spoils {
		o.spoilsManifest = false
	}
	o.mu.Unlock()
	if !isManifest {
		o.sound.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	o.sound.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	if spoils {
		changeDigit(body)
	}
	o.log.printf("the origin sends the manifest of version %s, spoilt: %v", r.URL.Query().Get("version"), spoils)
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

// changeDigit changes the first digit of the first digest of a manifest.
func changeDigit(manifest []byte) {
	start := []byte(`"digests":["`)
	i := bytes.Index(manifest, start) + len(start)
	if manifest[i] == '0' {
		manifest[i] = '1'
	} else {
		manifest[i] = '0'
	}
}
