package rig3

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Proxy passes the calls to the origin on and may change its answers.
type Proxy struct {
	record *Record
	target string
	lis    net.Listener
	server *http.Server

	mu sync.Mutex
	// spoil changes the next manifest; nil to pass it on as it is.
	spoil             func(manifest []byte) []byte
	answers, spoiled  int
	manifests, pieces int
}

// NewProxy starts a proxy of the origin.
func NewProxy(record *Record, target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{record: record, target: target, lis: lis}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.lis.Addr().String() }

// Close stops the proxy.
func (p *Proxy) Close() { _ = p.server.Close() }

// SpoilNext changes the next manifest that is sent. The others stay as they are.
func (p *Proxy) SpoilNext(change func(manifest []byte) []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoil = change
	p.answers, p.spoiled, p.manifests, p.pieces = 0, 0, 0, 0
}

// Counts returns the answers since SpoilNext: all, spoiled ones, manifests and pieces.
func (p *Proxy) Counts() (answers, spoiled, manifests, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers, p.spoiled, p.manifests, p.pieces
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	//nolint:gosec // The target is the stand-in of the origin.
	resp, err := http.Get("http://" + p.target + r.URL.RequestURI())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	body = p.change(r, resp.StatusCode, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
}

func (p *Proxy) change(r *http.Request, status int, body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if !strings.HasPrefix(r.URL.Path, "/-/manifest/") {
		p.pieces++
		return body
	}
	p.manifests++
	if p.spoil == nil || status != http.StatusOK {
		p.record.Printf("origin: manifest to %s, as it is", r.RemoteAddr)
		return body
	}
	spoiled := p.spoil(body)
	p.spoil = nil
	p.spoiled++
	for i := range body {
		if body[i] != spoiled[i] {
			p.record.Printf("origin: manifest to %s, spoilt: byte %d of %d is %q instead of %q", r.RemoteAddr, i, len(body), spoiled[i], body[i])
		}
	}
	return spoiled
}

// SpoilDigest changes one hexadecimal digit of the digest of a piece in the middle.
func SpoilDigest(manifest []byte) []byte {
	out := bytes.Clone(manifest)
	digests := bytes.Index(out, []byte(`"digests":["`)) + len(`"digests":["`)
	i := digests + Chunks/2*67 + 10
	if out[i] == '0' {
		out[i] = '1'
	} else {
		out[i] = '0'
	}
	return out
}

// SpoilField changes one letter of the name of the field with the size of a piece.
func SpoilField(manifest []byte) []byte {
	return bytes.Replace(bytes.Clone(manifest), []byte(`"chunk_bytes"`), []byte(`"chunk_bytus"`), 1)
}
