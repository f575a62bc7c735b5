package emulator

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/shaper"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	maxRequestBytes = 1 << 30
	maxReadLimit    = 10_000
	maxLongPoll     = 10 * time.Second
	originQuantum   = 16 << 10
)

// PlatformConfig configures the platform's stand-in.
type PlatformConfig struct {
	Seed uint64
	// OriginLink limits the bytes read from the origin; nil is unlimited.
	OriginLink *shaper.Link
	// ListLag is the list's usual lag.
	ListLag time.Duration
}

// Platform is the stand-in for the log, the store, the origin and the list.
type Platform struct {
	cfg       PlatformConfig
	dice      *dice
	directory *directory
	faults    atomic.Pointer[PlatformFaults]

	mu      sync.Mutex
	streams map[string]*stream
	objects map[string][]byte
	weights map[string][]byte

	originBytes atomic.Int64
	appends     atomic.Int64
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:       cfg,
		dice:      newDice(cfg.Seed),
		directory: newDirectory(),
		streams:   map[string]*stream{},
		objects:   map[string][]byte{},
		weights:   map[string][]byte{},
	}
	p.faults.Store(&PlatformFaults{})
	return p
}

// Serve serves the platform on lis until ctx ends.
func (p *Platform) Serve(ctx context.Context, lis net.Listener) error {
	return serveHTTP(ctx, lis, false, p.handle)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.Store(&f) }

// OriginBytes returns how many bytes of weights were read from the origin.
func (p *Platform) OriginBytes() int64 { return p.originBytes.Load() }

// AppendedRecords returns how many records were appended to all streams.
func (p *Platform) AppendedRecords() int64 { return p.appends.Load() }

// Trim removes the records of a stream below offset, as retention does.
func (p *Platform) Trim(name string, offset uint64) { p.stream(name).trim(offset) }

// Records returns the retained records of a stream.
func (p *Platform) Records(name string) []provider.Record {
	page, _ := p.stream(name).read(0, int(^uint(0)>>1))
	return page.Records
}

func (p *Platform) stream(name string) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[name]
	if s == nil {
		s = newStream()
		p.streams[name] = s
	}
	return s
}

// Status is what the admin path reports.
type Status struct {
	OriginBytes     int64          `json:"origin_bytes"`
	AppendedRecords int64          `json:"appends"`
	Faults          PlatformFaults `json:"faults"`
}

type trimRequest struct {
	Stream string `json:"stream"`
	Offset uint64 `json:"offset"`
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/admin/faults":
		decodeThen(ctx, p.SetFaults)
	case path == "/admin/trim":
		decodeThen(ctx, func(t trimRequest) { p.Trim(t.Stream, t.Offset) })
	case path == "/admin/status":
		writeJSON(ctx, Status{OriginBytes: p.OriginBytes(), AppendedRecords: p.AppendedRecords(), Faults: *p.faults.Load()})
	case path == "/v1/instances":
		p.handleInstances(ctx)
	case strings.HasPrefix(path, "/v1/logs/"):
		p.handleLog(ctx, strings.Split(strings.TrimPrefix(path, "/v1/logs/"), "/")[0])
	case strings.HasPrefix(path, "/v1/store/"):
		p.handleStore(ctx, strings.TrimPrefix(path, "/v1/store/"))
	case strings.HasPrefix(path, "/v1/origin/"):
		p.handleOrigin(ctx, strings.TrimPrefix(path, "/v1/origin/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleInstances(ctx *fasthttp.RequestCtx) {
	f := p.faults.Load()
	if f.ListDown {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsPost() {
		decodeThen(ctx, func(i provider.Instance) { p.directory.announce(time.Now(), i) })
		return
	}
	lag := p.cfg.ListLag + time.Duration(f.ListLagMillis)*time.Millisecond
	data, err := json.Marshal(platformclient.InstancesResponse{Instances: p.directory.list(time.Now().Add(-lag))})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(fasthttp.HeaderContentEncoding, "gzip")
	ctx.SetBody(fasthttp.AppendGzipBytes(nil, data))
}

func (p *Platform) handleLog(ctx *fasthttp.RequestCtx, name string) {
	f := p.faults.Load()
	sleepMillis(f.LogLatencyMillis)
	if f.LogDown {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsPost() {
		p.handleAppend(ctx, name, f)
		return
	}
	args := ctx.QueryArgs()
	from := uint64(args.GetUintOrZero("from"))
	limit := min(max(args.GetUintOrZero("limit"), 1), maxReadLimit)
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, maxLongPoll)
	writeJSON(ctx, p.readOrWait(name, from, limit, wait))
}

func (p *Platform) handleAppend(ctx *fasthttp.RequestCtx, name string, f *PlatformFaults) {
	decodeThen(ctx, func(req platformclient.AppendRequest) {
		first := p.stream(name).append(time.Now(), req.Records)
		p.appends.Add(int64(len(req.Records)))
		if p.dice.happens(f.AppendReplyLossRate) {
			dropConnection(ctx)
			return
		}
		writeJSON(ctx, platformclient.AppendResponse{FirstOffset: first})
	})
}

func (p *Platform) readOrWait(name string, from uint64, limit int, wait time.Duration) provider.Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown := p.stream(name).read(from, limit)
		if len(page.Records) > 0 || wait <= 0 {
			return page
		}
		select {
		case <-grown:
		case <-timer.C:
			return page
		}
	}
}

func (p *Platform) handleStore(ctx *fasthttp.RequestCtx, name string) {
	f := p.faults.Load()
	sleepMillis(f.StoreLatencyMillis)
	if f.StoreDown {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsPut() {
		p.objects[name] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	writeObject(ctx, p.objects[name])
}

func (p *Platform) handleOrigin(ctx *fasthttp.RequestCtx, name string) {
	f := p.faults.Load()
	sleepMillis(f.StoreLatencyMillis)
	if f.StoreDown || p.dice.happens(f.OriginRefusalRate) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsPut() {
		p.putWeights(name, ctx.PostBody())
		return
	}
	p.mu.Lock()
	data := p.weights[name]
	p.mu.Unlock()
	offset, length := ctx.QueryArgs().GetUintOrZero("offset"), ctx.QueryArgs().GetUintOrZero("length")
	if data == nil || offset+length > len(data) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	p.sendWeights(ctx, data[offset:offset+length], f)
}

func (p *Platform) putWeights(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[name] = append([]byte(nil), data...)
}

func (p *Platform) sendWeights(ctx *fasthttp.RequestCtx, data []byte, f *PlatformFaults) {
	p.originBytes.Add(int64(len(data)))
	for sent := 0; sent < len(data); sent += originQuantum {
		n := min(originQuantum, len(data)-sent)
		if err := shaper.Pass(ctx, time.Now(), n, []*shaper.Link{p.cfg.OriginLink}); err != nil {
			return
		}
	}
	ctx.SetBody(data)
	if p.dice.happens(f.OriginCorruptionRate) && len(data) > 0 {
		ctx.Response.Body()[len(data)/2] ^= 0xff
	}
}
