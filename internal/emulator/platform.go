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
	maxReadRecords  = 10_000
	maxLongPollWait = 10 * time.Second
	// originSendBytes is how many bytes are charged to the origin's link at a time.
	originSendBytes = 16 << 10
)

// PlatformConfig configures an emulated platform.
type PlatformConfig struct {
	// Seed seeds fault injection.
	Seed uint64
	// OriginLink limits the rate of reads from the origin; nil means unlimited.
	OriginLink *shaper.Link
	// ListLag is the lag of the list of instances without faults.
	ListLag time.Duration
}

// Platform emulates the platform's log, object store, origin and list of instances.
type Platform struct {
	cfg       PlatformConfig
	sampler   *sampler
	directory *directory
	faults    atomic.Pointer[PlatformFaults]

	mu      sync.Mutex
	streams map[string]*stream
	objects map[string][]byte
	weights map[string][]byte

	originBytes     atomic.Int64
	appendedRecords atomic.Int64
}

// NewPlatform returns a platform without streams, objects or weights.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:       cfg,
		sampler:   newSampler(cfg.Seed),
		directory: newDirectory(),
		streams:   map[string]*stream{},
		objects:   map[string][]byte{},
		weights:   map[string][]byte{},
	}
	p.faults.Store(&PlatformFaults{})
	return p
}

// Serve serves the platform on lis until ctx is cancelled.
func (p *Platform) Serve(ctx context.Context, lis net.Listener) error {
	return serveHTTP(ctx, lis, false, p.handle)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.Store(&f) }

// OriginBytes returns how many bytes of weights have been read from the origin.
func (p *Platform) OriginBytes() int64 { return p.originBytes.Load() }

// AppendedRecords returns how many records have been appended to all streams.
func (p *Platform) AppendedRecords() int64 { return p.appendedRecords.Load() }

// Trim removes the records of a stream before offset, as log retention does.
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

// Status is the response of /admin/status.
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
		handleJSON(ctx, p.SetFaults)
	case path == "/admin/trim":
		handleJSON(ctx, func(t trimRequest) { p.Trim(t.Stream, t.Offset) })
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
		handleJSON(ctx, func(i provider.Instance) { p.directory.announce(time.Now(), i) })
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
	limit := min(max(args.GetUintOrZero("limit"), 1), maxReadRecords)
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, maxLongPollWait)
	writeJSON(ctx, p.readOrWait(name, from, limit, wait))
}

func (p *Platform) handleAppend(ctx *fasthttp.RequestCtx, name string, f *PlatformFaults) {
	handleJSON(ctx, func(req platformclient.AppendRequest) {
		first := p.stream(name).append(time.Now(), req.Records)
		p.appendedRecords.Add(int64(len(req.Records)))
		if p.sampler.occurs(f.AppendReplyLossRate) {
			dropConnection(ctx)
			return
		}
		writeJSON(ctx, platformclient.AppendResponse{FirstOffset: first})
	})
}

// readOrWait reads a stream and waits up to wait for records if there are none.
func (p *Platform) readOrWait(name string, from uint64, limit int, wait time.Duration) provider.Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended := p.stream(name).read(from, limit)
		if len(page.Records) > 0 || wait <= 0 {
			return page
		}
		select {
		case <-appended:
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
	if f.StoreDown || p.sampler.occurs(f.OriginRefusalRate) {
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
	for sent := 0; sent < len(data); sent += originSendBytes {
		n := min(originSendBytes, len(data)-sent)
		if err := shaper.WaitN(ctx, time.Now(), n, []*shaper.Link{p.cfg.OriginLink}); err != nil {
			return
		}
	}
	ctx.SetBody(data)
	if p.sampler.occurs(f.OriginCorruptionRate) && len(data) > 0 {
		ctx.Response.Body()[len(data)/2] ^= 0xff
	}
}
