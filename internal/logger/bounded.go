package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rotisserie/eris"
)

const (
	// maxBuffered is what waits for a reader that does not read.
	maxBuffered = 256 << 10
	// flushInterval is how often lines are written, as one piece.
	flushInterval = 200 * time.Millisecond
	// linesPerSecond and lineBurst bound the lines of one event, so that a flood
	// of one kind leaves room for the others.
	linesPerSecond = 400
	lineBurst      = 800
)

// BoundedWriter writes lines without ever blocking their writers. What does not fit is
// dropped and counted by event.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	writing []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	lines   *zap.Logger
	limits  limits
}

// NewBounded returns a logger that writes JSON lines to out, bounded in rate and
// memory. Close writes what is left.
func NewBounded(cfg Config, out io.Writer) (l *zap.Logger, b *BoundedWriter, err error) {
	var level zap.AtomicLevel
	if level, err = zap.ParseAtomicLevel(cfg.Level); err != nil {
		return nil, nil, eris.Wrap(err, "log level")
	}
	b = &BoundedWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	b.limits.events = map[string]*limit{}
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey, ec.MessageKey = "time", "name"
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(ec), b, level)
	b.lines = zap.New(core).With(zap.String("role", cfg.Role), zap.String("instance", cfg.Instance))
	l = zap.New(&boundedCore{Core: b.lines.Core(), limits: &b.limits})
	go b.run()
	return l, b, nil
}

// Write implements zapcore.WriteSyncer; it never blocks.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBuffered {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*BoundedWriter) Sync() error { return nil }

// Close writes the lines that are left, unless the reader takes none.
func (b *BoundedWriter) Close() {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds the wait for a reader at the end of the process.
const closeTimeout = 300 * time.Millisecond

func (b *BoundedWriter) run() {
	defer close(b.done)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.reportDropped()
			b.flush()
		case <-b.stop:
			b.flush()
			return
		}
	}
}

func (b *BoundedWriter) flush() {
	b.mu.Lock()
	b.pending, b.writing = b.writing[:0], b.pending
	b.mu.Unlock()
	if len(b.writing) > 0 {
		// A reader that is gone can't be told of it.
		_, _ = b.out.Write(b.writing)
	}
}

// reportDropped writes how many lines of which events were left out.
func (b *BoundedWriter) reportDropped() {
	fields := b.limits.takeDropped()
	if n := b.dropped.Swap(0); n > 0 {
		fields = append(fields, zap.Int64("unread", n))
	}
	if len(fields) > 0 {
		Log(b.lines, LinesDropped, fields...)
	}
}

// limits bounds the lines of each event.
type limits struct {
	mu     sync.Mutex
	events map[string]*limit
}

type limit struct {
	tokens  float64
	last    time.Time
	dropped int64
}

func (l *limits) allow(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.events[name]
	if one == nil {
		one = &limit{tokens: lineBurst, last: now}
		l.events[name] = one
	}
	one.tokens = min(one.tokens+now.Sub(one.last).Seconds()*linesPerSecond, lineBurst)
	one.last = now
	if one.tokens < 1 {
		one.dropped++
		return false
	}
	one.tokens--
	return true
}

func (l *limits) takeDropped() (fields []zap.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, one := range l.events {
		if one.dropped > 0 {
			fields = append(fields, zap.Int64(name, one.dropped))
			one.dropped = 0
		}
	}
	return fields
}

// boundedCore drops lines above the limit of their event before they are encoded.
type boundedCore struct {
	zapcore.Core
	limits *limits
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), limits: c.limits}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.limits.allow(e.Time, e.Message) {
		return ce
	}
	return ce.AddCore(e, c.Core)
}
