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
	reloadCheckInterval = 2 * time.Second
	// warnBefore is how long before its end a certificate is warned about.
	expiryWarningPeriod = 7 * 24 * time.Hour
	// warnInterval is the time between warnings.
	expiryWarningInterval = time.Hour
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
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	notAfter    time.Time
}

// Authenticator holds the keys of a process. It is safe for concurrent use.
type Authenticator struct {
	files  Files
	logger *zap.Logger

	mu           sync.Mutex
	credentials  credentials
	checkedAt    time.Time
	lastModified time.Time
	warnedAt     time.Time
}

// New reads the files. They must be good now.
func New(files Files, l *zap.Logger, now time.Time) (a *Authenticator, err error) {
	a = &Authenticator{files: files, logger: l}
	if a.credentials, err = loadCredentials(files, now); err != nil {
		return nil, err
	}
	a.checkedAt = now
	a.lastModified = lastModified(files)
	a.warnBeforeExpiry(now)
	return a, nil
}

func loadCredentials(files Files, now time.Time) (creds credentials, err error) {
	if creds.certificate, err = tls.LoadX509KeyPair(files.Certificate, files.Key); err != nil {
		return creds, eris.Wrapf(err, "certificate %s with key %s", files.Certificate, files.Key)
	}
	leaf, err := x509.ParseCertificate(creds.certificate.Certificate[0])
	if err != nil {
		return creds, eris.Wrapf(err, "certificate %s", files.Certificate)
	}
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return creds, &ExpiryError{File: files.Certificate, NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter, Now: now}
	}
	creds.notAfter = leaf.NotAfter
	var pem []byte
	if pem, err = os.ReadFile(files.Authority); err != nil {
		return creds, eris.Wrap(err, "authority")
	}
	creds.authorities = x509.NewCertPool()
	if !creds.authorities.AppendCertsFromPEM(pem) {
		return creds, eris.Errorf("authority %s holds no certificate", files.Authority)
	}
	return creds, nil
}

// modified returns when any of the files was last changed.
func lastModified(files Files) (newest time.Time) {
	for _, name := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys, read again if the files changed. Files that are not
// good keep the old keys in use.
func (a *Authenticator) currentCredentials(now time.Time) credentials {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.checkedAt) < reloadCheckInterval {
		return a.credentials
	}
	a.checkedAt = now
	if m := lastModified(a.files); !m.Equal(a.lastModified) {
		a.lastModified = m
		a.reload(now)
	}
	a.warnBeforeExpiry(now)
	return a.credentials
}

func (a *Authenticator) reload(now time.Time) {
	creds, err := loadCredentials(a.files, now)
	if err != nil {
		logger.Log(a.logger, logger.KeysRefused, zap.Error(err))
		return
	}
	a.credentials = creds
	logger.Log(a.logger, logger.KeysRead, zap.Time("not_after", creds.notAfter))
}

func (a *Authenticator) warnBeforeExpiry(now time.Time) {
	if a.credentials.notAfter.Sub(now) > expiryWarningPeriod || now.Sub(a.warnedAt) < expiryWarningInterval {
		return
	}
	a.warnedAt = now
	logger.Log(a.logger, logger.KeysExpire, zap.String("file", a.files.Certificate), zap.Time("not_after", a.credentials.notAfter))
}

// ServerConfig returns the configuration for accepting connections.
func (a *Authenticator) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			creds := a.currentCredentials(time.Now())
			return &creds.certificate, nil
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
			creds := a.currentCredentials(time.Now())
			return &creds.certificate, nil
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
		Roots:         a.currentCredentials(now).authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "peer's certificate")
}
