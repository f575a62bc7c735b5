package pauselogger_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"flamingoledge.org/flamingoledge/internal/pauselogger"
)

func TestPauseIsLogged(t *testing.T) {
	tests := map[string]struct {
		// suspended is how far the clock gets ahead between two checks.
		suspended time.Duration
		want      int
	}{
		"running":                  {},
		"checks late on busy host": {suspended: 100 * time.Millisecond},
		"suspended":                {suspended: 4 * time.Second, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zapcore.DebugLevel)
			var reads atomic.Int64
			start := time.Unix(0, 0)
			clock := func() time.Time {
				n := reads.Add(1)
				now := start.Add(time.Duration(n-1) * 250 * time.Millisecond)
				if n > 2 {
					now = now.Add(tt.suspended)
				}
				return now
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				pauselogger.Run(ctx, clock, zap.New(core))
			}()
			for reads.Load() < 4 {
				time.Sleep(10 * time.Millisecond)
			}
			cancel()
			<-done
			is.Equal(logs.Len(), tt.want)
		})
	}
}
