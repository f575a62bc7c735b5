// Package authenticator secures the connections between the system's processes
// by mutual TLS. Both sides show a certificate that one of the authorities has
// signed; who shows none gets nothing. The files are read again when they change.
package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
)

const (
	// rereadAfter is how often the files are looked at.
	rereadAfter = 2 * time.Second
	// warnBefore is how long before its end a certificate is warned about.
	warnBefore = 7 * 24 * time.Hour
	// warnInterval is the time between warnings.
	warnInterval = time.Hour
)

// Files names the files of a process.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// ExpiryError tells that a certificate is not valid now.
type ExpiryError struct {
	File      string
	NotBefore time.Time
	NotAfter  time.Time
	Now       time.Time
}

// Error implements error.
func (e *ExpiryError) Error() string {
	return fmt.Sprintf("%s: the certificate is valid from %s to %s, and it is %s",
		e.File, e.NotBefore.Format(time.RFC3339), e.NotAfter.Format(time.RFC3339), e.Now.Format(time.RFC3339))
}

// keys is what the files held when they were last read. It is immutable.
type keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	notAfter    time.Time
}

// Authenticator holds the keys of a process. It is safe for concurrent use.
type Authenticator struct {
	files  Files
	logger *zap.Logger

	mu       sync.Mutex
	keys     keys
	readAt   time.Time
	modified time.Time
	warnedAt time.Time
}

// New reads the files. They must be good now.
func New(files Files, l *zap.Logger, now time.Time) (a *Authenticator, err error) {
	a = &Authenticator{files: files, logger: l}
	if a.keys, err = read(files, now); err != nil {
		return nil, err
	}
	a.readAt = now
	a.modified = modified(files)
	a.warn(now)
	return a, nil
}

func read(files Files, now time.Time) (k keys, err error) {
	if k.certificate, err = tls.LoadX509KeyPair(files.Certificate, files.Key); err != nil {
		return k, eris.Wrapf(err, "certificate %s with key %s", files.Certificate, files.Key)
	}
	leaf, err := x509.ParseCertificate(k.certificate.Certificate[0])
	if err != nil {
		return k, eris.Wrapf(err, "certificate %s", files.Certificate)
	}
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return k, &ExpiryError{File: files.Certificate, NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter, Now: now}
	}
	k.notAfter = leaf.NotAfter
	var pem []byte
	if pem, err = os.ReadFile(files.Authority); err != nil {
		return k, eris.Wrap(err, "authority")
	}
	k.authorities = x509.NewCertPool()
	if !k.authorities.AppendCertsFromPEM(pem) {
		return k, eris.Errorf("authority %s holds no certificate", files.Authority)
	}
	return k, nil
}

// modified returns when any of the files was last changed.
func modified(files Files) (last time.Time) {
	for _, name := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// current returns the keys, read again if the files changed. Files that are not
// good keep the old keys in use.
func (a *Authenticator) current(now time.Time) keys {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.readAt) < rereadAfter {
		return a.keys
	}
	a.readAt = now
	if m := modified(a.files); !m.Equal(a.modified) {
		a.modified = m
		a.reread(now)
	}
	a.warn(now)
	return a.keys
}

func (a *Authenticator) reread(now time.Time) {
	k, err := read(a.files, now)
	if err != nil {
		logger.Log(a.logger, logger.KeysRefused, zap.Error(err))
		return
	}
	a.keys = k
	logger.Log(a.logger, logger.KeysRead, zap.Time("not_after", k.notAfter))
}

func (a *Authenticator) warn(now time.Time) {
	if a.keys.notAfter.Sub(now) > warnBefore || now.Sub(a.warnedAt) < warnInterval {
		return
	}
	a.warnedAt = now
	logger.Log(a.logger, logger.KeysExpire, zap.String("file", a.files.Certificate), zap.Time("not_after", a.keys.notAfter))
}

// ServerConfig returns the configuration for accepting connections.
func (a *Authenticator) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			k := a.current(time.Now())
			return &k.certificate, nil
		},
		VerifyConnection: a.verify,
	}
}

// ClientConfig returns the configuration for opening connections. Processes are found
// by IP numbers that change, so that a peer is checked by who signed its
// certificate and not by a name in it.
func (a *Authenticator) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			k := a.current(time.Now())
			return &k.certificate, nil
		},
		VerifyConnection: a.verify,
	}
}

// verify checks the peer's certificate against the authorities of now.
func (a *Authenticator) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer shows no certificate")
	}
	now := time.Now()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         a.current(now).authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "peer's certificate")
}
