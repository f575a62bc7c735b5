package main

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

func newOrigin(w *standin.Weights) (*origin, error) {
	inner, err := standin.NewOrigin(w)
	if err != nil {
		return nil, err
	}
	inner.SetChunkTime(chunkTime)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{inner: inner, listener: lis}
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: time.Minute}
	go func() { _ = o.server.Serve(lis) }()
	return o, nil
}

func (o *origin) address() string { return o.listener.Addr().String() }

func (o *origin) close() {
	_ = o.server.Close()
	o.inner.Close()
}

// spoil makes the origin spoil the next n manifests.
func (o *origin) spoil(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoilManifests, o.answers, o.spoiled = n, 0, 0
}

// counts returns the answers since the last call of spoil, and how many of them were spoiled.
func (o *origin) counts() (answers, spoiled int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers, o.spoiled
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	o.inner.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	o.mu.Lock()
	o.answers++
	if strings.HasPrefix(r.URL.Path, "/-/manifest/") && answer.Code == http.StatusOK && o.spoilManifests > 0 {
		o.spoilManifests--
		o.spoiled++
		body = spoilDigit(body)
	}
	o.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

// spoilDigit changes one hexadecimal digit of the first digest of a manifest.
func spoilDigit(manifest []byte) []byte {
	spoiled := bytes.Clone(manifest)
	i := bytes.Index(spoiled, []byte(`"digests":["`)) + len(`"digests":["`)
	if spoiled[i] == '0' {
		spoiled[i] = '1'
	} else {
		spoiled[i] = '0'
	}
	return spoiled
}
