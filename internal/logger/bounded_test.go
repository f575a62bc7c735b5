package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// buffer is an output whose writes block until blocked is closed, if it is set.
type buffer struct {
	mu      sync.Mutex
	b       bytes.Buffer
	blocked chan struct{}
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.blocked != nil {
		<-b.blocked
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func newBounded(t testing.TB, out *buffer) (*zap.Logger, *logger.BoundedWriter) {
	t.Helper()
	l, b, err := logger.NewBounded(logger.Config{Level: "info", Role: "entry", Instance: "i"}, out)
	if err != nil {
		t.Fatal(err)
	}
	return l, b
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	l, b := newBounded(t, out)
	logger.Log(l, logger.ProcessStarted, zap.String("address", "a"))
	b.Close()
	is.True(strings.Contains(out.String(), `"name":"process_started","role":"entry","instance":"i","address":"a","event":1001}`))
}

func TestFloodOfOneEventIsLimitedAndCounted(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	l, b := newBounded(t, out)
	for range 5000 {
		logger.Log(l, logger.RouteChosen)
	}
	logger.Log(l, logger.ProcessDraining)
	time.Sleep(300 * time.Millisecond)
	b.Close()
	text := out.String()
	is.True(strings.Count(text, "route_chosen\",\"role") < 1200)
	is.True(strings.Contains(text, "process_draining")) // other events are not affected
	is.True(strings.Contains(text, `"lines_dropped"`))
	is.True(strings.Contains(text, `"route_chosen":`)) // the dropped lines are counted by event
}

func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	out := &buffer{blocked: make(chan struct{})}
	l, b := newBounded(t, out)
	long := strings.Repeat("x", 10000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 400 {
			logger.Log(l, logger.RouteChosen, zap.String("long", long))
			time.Sleep(time.Millisecond)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocked on a reader that does not read")
	}
	close(out.blocked)
	time.Sleep(500 * time.Millisecond)
	b.Close()
	is.True(len(out.String()) < 1<<20)
	is.True(strings.Contains(out.String(), `"unread":`))
}

func BenchmarkBoundedLine(b *testing.B) {
	l, bounded := newBounded(b, &buffer{})
	defer bounded.Close()
	b.ReportAllocs()
	for b.Loop() {
		logger.Log(l, logger.RouteChosen, zap.String("request_id", "9c41d07be2a35f68"), zap.Float64("load", 3), zap.Duration("load_age", time.Second))
	}
}
