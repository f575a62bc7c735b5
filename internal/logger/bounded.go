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
	// maxBufferedBytes bounds the lines that wait for a slow reader of the log.
	maxBufferedBytes = 256 << 10
	// flushInterval is the interval at which the buffered lines are written, in one write.
	flushInterval = 200 * time.Millisecond
	// linesPerSecond and lineBurst limit the rate of each event, so that a flood
	// of one event does not crowd out the others.
	linesPerSecond = 400
	lineBurst      = 800
)

// BoundedWriter buffers log lines and writes them in the background, so that
// logging never blocks. Lines that exceed the buffer are dropped and counted.
type BoundedWriter struct {
	out io.Writer

	mu sync.Mutex
	// pending contains the lines that wait for the next flush.
	pending []byte
	// writing is the buffer of the current flush. Only run uses it.
	writing []byte
	// dropped counts the lines that exceeded the buffer.
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	logger  *zap.Logger
	limiter limiter
}

// NewBounded returns a logger that writes JSON lines to out with bounded memory
// and a rate limit per event. Close flushes the buffered lines.
func NewBounded(cfg Config, out io.Writer) (l *zap.Logger, b *BoundedWriter, err error) {
	var level zap.AtomicLevel
	if level, err = zap.ParseAtomicLevel(cfg.Level); err != nil {
		return nil, nil, eris.Wrap(err, "parse log level")
	}
	b = &BoundedWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	b.limiter.buckets = map[string]*tokenBucket{}
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey, ec.MessageKey = "time", "name"
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(ec), b, level)
	b.logger = zap.New(core).With(zap.String("role", cfg.Role), zap.String("instance", cfg.Instance))
	l = zap.New(&boundedCore{Core: b.logger.Core(), limiter: &b.limiter})
	go b.run()
	return l, b, nil
}

// Write implements zapcore.WriteSyncer; it never blocks.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBufferedBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*BoundedWriter) Sync() error { return nil }

// Close flushes the buffered lines. It gives up after closeTimeout if the reader
// of the log does not accept them.
func (b *BoundedWriter) Close() {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds the final flush, so that a blocked reader of the log does
// not keep the process from exiting.
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
		// A failed write to the log can't be reported anywhere.
		_, _ = b.out.Write(b.writing)
	}
}

// reportDropped logs the number of lines that were dropped since the last report: by
// event for the rate limit, and in total for the full buffer.
func (b *BoundedWriter) reportDropped() {
	fields := b.limiter.takeDroppedCounts()
	if n := b.dropped.Swap(0); n > 0 {
		fields = append(fields, zap.Int64("unread", n))
	}
	if len(fields) > 0 {
		Log(b.logger, LinesDropped, fields...)
	}
}

// limiter limits the rate of each event's lines.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket is the rate limit of one event and its count of dropped lines.
type tokenBucket struct {
	tokens  float64
	last    time.Time
	dropped int64
}

// allow reports whether a line of the event may be written now. It counts the
// lines that may not.
func (l *limiter) allow(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[name]
	if bucket == nil {
		bucket = &tokenBucket{tokens: lineBurst, last: now}
		l.buckets[name] = bucket
	}
	bucket.tokens = min(bucket.tokens+now.Sub(bucket.last).Seconds()*linesPerSecond, lineBurst)
	bucket.last = now
	if bucket.tokens < 1 {
		bucket.dropped++
		return false
	}
	bucket.tokens--
	return true
}

// takeDroppedCounts returns and resets the number of dropped lines of each event.
func (l *limiter) takeDroppedCounts() (fields []zap.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, bucket := range l.buckets {
		if bucket.dropped > 0 {
			fields = append(fields, zap.Int64(name, bucket.dropped))
			bucket.dropped = 0
		}
	}
	return fields
}

// boundedCore drops lines above the rate limit of their event before they are
// encoded.
type boundedCore struct {
	zapcore.Core
	limiter *limiter
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.limiter.allow(e.Time, e.Message) {
		return ce
	}
	return ce.AddCore(e, c.Core)
}
