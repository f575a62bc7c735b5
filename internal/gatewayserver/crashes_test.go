package gatewayserver

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAwaitProbes(t *testing.T) {
	const fingerprint = 7
	tests := map[string]struct {
		// results are those of the probes that end while the call waits; a further
		// probe does not end if pending is set.
		results   []bool
		pending   bool
		convicted bool
		err       error
	}{
		"none":                  {},
		"one finds a crash":     {results: []bool{true}, convicted: true},
		"one finds none":        {results: []bool{false}},
		"the first one decides": {results: []bool{true}, pending: true, convicted: true},
		"one does not end":      {pending: true, err: context.DeadlineExceeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrashLedger(time.Now)
			for _, endpoint := range []string{"e1", "e2"} {
				c.StartProbe(fingerprint, endpoint)(true)
			}
			is.NoErr(c.AwaitProbes(t.Context(), fingerprint))
			is.True(!c.IsConvicted(fingerprint)) // one crash is missing
			for _, crashed := range tc.results {
				end := c.StartProbe(fingerprint, "e3")
				time.AfterFunc(20*time.Millisecond, func() { end(crashed) })
			}
			if tc.pending {
				c.StartProbe(fingerprint, "e4")
			}
			timeout := 10 * time.Second
			if tc.err != nil {
				timeout = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			is.True(errors.Is(c.AwaitProbes(ctx, fingerprint), tc.err))
			is.Equal(c.IsConvicted(fingerprint), tc.convicted)
		})
	}
}
