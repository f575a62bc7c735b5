package authenticator_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"flamingoledge.org/flamingoledge/internal/authenticator"
	"flamingoledge.org/flamingoledge/internal/logger"
)

// handshake performs a TLS handshake between two processes and returns its error.
func handshake(t *testing.T, server, client *authenticator.Authenticator) error {
	t.Helper()
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()
	deadline := time.Now().Add(500 * time.Millisecond)
	if err := errors.Join(a.SetDeadline(deadline), b.SetDeadline(deadline)); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- tls.Server(a, server.ServerConfig()).Handshake() }()
	err := tls.Client(b, client.ClientConfig()).Handshake()
	if serverErr := <-served; serverErr != nil {
		return serverErr
	}
	return err
}

func TestChangedFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	old, err := authenticator.NewIssuer(t.TempDir(), now, time.Hour)
	is.NoErr(err)
	serverFiles, err := old.Issue("server", now, time.Hour)
	is.NoErr(err)
	core, logs := observer.New(zap.InfoLevel)
	server, err := authenticator.New(serverFiles, zap.New(core), now)
	is.NoErr(err)
	clientFiles, err := old.Issue("client", now, time.Hour)
	is.NoErr(err)
	client, err := authenticator.New(clientFiles, zap.NewNop(), now)
	is.NoErr(err)
	is.NoErr(handshake(t, server, client))

	// Replace the authority of the server, so that it rejects the client.
	other, err := authenticator.NewIssuer(t.TempDir(), now, time.Hour)
	is.NoErr(err)
	otherFiles, err := other.Issue("other", now, time.Hour)
	is.NoErr(err)
	authority, err := os.ReadFile(otherFiles.Authority)
	is.NoErr(err)
	later := now.Add(time.Second)
	is.NoErr(os.WriteFile(serverFiles.Authority, authority, 0o600))
	is.NoErr(os.Chtimes(serverFiles.Authority, later, later))
	time.Sleep(2200 * time.Millisecond) // longer than the interval between checks for changed files
	is.True(handshake(t, server, client) != nil)
	is.Equal(logs.FilterMessage(logger.KeysRead.Name).Len(), 1)

	// Invalid files are refused, and the previous credentials remain in use.
	is.NoErr(os.WriteFile(serverFiles.Certificate, []byte("nonsense"), 0o600))
	is.NoErr(os.Chtimes(serverFiles.Certificate, later.Add(time.Second), later.Add(time.Second)))
	time.Sleep(2200 * time.Millisecond)
	is.True(handshake(t, server, client) != nil)
	is.Equal(logs.FilterMessage(logger.KeysRefused.Name).Len(), 1)
}

func TestCertificateExpiry(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		validity time.Duration
		elapsed  time.Duration
		expired  bool
		warnings int
	}{
		"far from expiry": {60 * 24 * time.Hour, 0, false, 0},
		"expires soon":    {time.Hour, 0, false, 1},
		"has expired":     {time.Hour, 2 * time.Hour, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			issuer, err := authenticator.NewIssuer(t.TempDir(), now, tc.validity)
			is.NoErr(err)
			files, err := issuer.Issue("p", now, tc.validity)
			is.NoErr(err)
			core, logs := observer.New(zap.InfoLevel)
			_, err = authenticator.New(files, zap.New(core), now.Add(tc.elapsed))
			var expiry *authenticator.ExpiryError
			is.Equal(errors.As(err, &expiry), tc.expired)
			is.Equal(logs.FilterMessage(logger.KeysExpire.Name).Len(), tc.warnings)
		})
	}
}
