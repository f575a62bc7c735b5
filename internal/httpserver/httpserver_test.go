package httpserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/httpserver"
)

const (
	testTimeout = 5 * time.Second
	grace       = 200 * time.Millisecond
)

func run(ctx context.Context, t *testing.T, lis net.Listener) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { result <- httpserver.Run(ctx, server, lis, grace) }()
	return result
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

func TestRunEnds(t *testing.T) {
	for name, wait := range map[string]time.Duration{"before it serves": 0, "while it serves": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Repeated to cover the race between the two goroutines of Run.
			for range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				lis := listen(t)
				if wait == 0 {
					cancel()
				}
				result := run(ctx, t, lis)
				time.Sleep(wait / 10)
				cancel()
				select {
				case err := <-result:
					is.NoErr(err)
				case <-time.After(testTimeout):
					t.Fatal("Run did not return after its context was canceled")
				}
				_, err := net.Dial("tcp", lis.Addr().String())
				is.True(err != nil) // the listener is closed
			}
		})
	}
}

func TestRunFails(t *testing.T) {
	is := is.New(t)
	lis := listen(t)
	is.NoErr(lis.Close())
	select {
	case err := <-run(context.Background(), t, lis):
		is.True(err != nil)
	case <-time.After(testTimeout):
		t.Fatal("Run did not return after its listener was closed")
	}
}
