package publisher_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// oneEntry is a provider.Directory with one entry at an address.
type oneEntry struct {
	provider.Directory
	address string
}

func (d oneEntry) Instances(context.Context) ([]provider.Instance, error) {
	return []provider.Instance{{Name: "e", Role: provider.RoleEntry, State: provider.InstanceLive, HTTPAddress: d.address}}, nil
}

// TestPropagationNeedsSoundStatus guards against a record that counts as in force by a response that is none, or
// that is a failure.
func TestPropagationNeedsSoundStatus(t *testing.T) {
	tests := map[string]struct {
		head    string
		inForce bool
	}{
		"sound":           {head: "HTTP/1.1 200 OK\r\n", inForce: true},
		"failure":         {head: "HTTP/1.1 500 Failed\r\n"},
		"status 000":      {head: "HTTP/1.1 000 OK\r\n"},
		"blank in a name": {head: "HTTP/1.1 200 OK\r\nA B: x\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = lis.Close() }()
			go func() {
				for {
					conn, aerr := lis.Accept()
					if aerr != nil {
						return
					}
					if _, aerr = http.ReadRequest(bufio.NewReader(conn)); aerr == nil {
						const body = `{"instance":"e","ready":true,"through_offset":5}`
						_, _ = io.WriteString(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", tc.head, len(body), body))
					}
					_ = conn.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err = publisher.AwaitPropagation(ctx, oneEntry{address: lis.Addr().String()}, 5, nil)
			var lag *publisher.LagError
			is.Equal(errors.As(err, &lag), !tc.inForce)
		})
	}
}
