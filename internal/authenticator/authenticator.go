// Package authenticator provides the mutual TLS configuration for connections between
// the processes of the system. Both sides must present a certificate that is signed by
// one of the authorities. The files are reloaded when they change.
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
	// reloadCheckInterval is the minimum time between checks for changed files.
	reloadCheckInterval = 2 * time.Second
	// expiryWarningPeriod is the time before the expiry of a certificate in which
	// warnings are logged.
	expiryWarningPeriod = 7 * 24 * time.Hour
	// expiryWarningInterval is the time between two expiry warnings.
	expiryWarningInterval = time.Hour
)

// Files contains the paths of the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// ExpiryError reports that a certificate has expired or is not valid yet.
type ExpiryError struct {
	File      string
	NotBefore time.Time
	NotAfter  time.Time
	Now       time.Time
}

// Error implements error.
func (e *ExpiryError) Error() string {
	return fmt.Sprintf("certificate %s is valid from %s to %s, but the current time is %s",
		e.File, e.NotBefore.Format(time.RFC3339), e.NotAfter.Format(time.RFC3339), e.Now.Format(time.RFC3339))
}

// credentials is the content of the files when they were last loaded. It is immutable.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	notAfter    time.Time
}

// Authenticator provides the TLS credentials of a process. It is safe for concurrent use.
type Authenticator struct {
	files  Files
	logger *zap.Logger

	mu           sync.Mutex
	credentials  credentials
	checkedAt    time.Time
	lastModified time.Time
	warnedAt     time.Time
}

// New loads the files. It returns an error if a file can't be loaded or the certificate
// is not valid at now.
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

// loadCredentials reads the files and checks that the certificate is valid at now.
func loadCredentials(files Files, now time.Time) (creds credentials, err error) {
	if creds.certificate, err = tls.LoadX509KeyPair(files.Certificate, files.Key); err != nil {
		return creds, eris.Wrapf(err, "load certificate %s with key %s", files.Certificate, files.Key)
	}
	leaf, err := x509.ParseCertificate(creds.certificate.Certificate[0])
	if err != nil {
		return creds, eris.Wrapf(err, "parse certificate %s", files.Certificate)
	}
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return creds, &ExpiryError{File: files.Certificate, NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter, Now: now}
	}
	creds.notAfter = leaf.NotAfter
	var pem []byte
	if pem, err = os.ReadFile(files.Authority); err != nil {
		return creds, eris.Wrapf(err, "read authority file %s", files.Authority)
	}
	creds.authorities = x509.NewCertPool()
	if !creds.authorities.AppendCertsFromPEM(pem) {
		return creds, eris.Errorf("authority file %s contains no certificate", files.Authority)
	}
	return creds, nil
}

// lastModified returns the latest modification time of the files.
func lastModified(files Files) (newest time.Time) {
	for _, name := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// currentCredentials returns the credentials, reloaded if the files have changed. If the
// new files are not valid, the previous credentials remain in use.
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

// reload replaces the credentials if the files are valid. The caller holds mu.
func (a *Authenticator) reload(now time.Time) {
	creds, err := loadCredentials(a.files, now)
	if err != nil {
		logger.Log(a.logger, logger.KeysRefused, zap.Error(err))
		return
	}
	a.credentials = creds
	logger.Log(a.logger, logger.KeysRead, zap.Time("not_after", creds.notAfter))
}

// warnBeforeExpiry logs a warning if the certificate expires soon, at most once per
// expiryWarningInterval.
func (a *Authenticator) warnBeforeExpiry(now time.Time) {
	if a.credentials.notAfter.Sub(now) > expiryWarningPeriod || now.Sub(a.warnedAt) < expiryWarningInterval {
		return
	}
	a.warnedAt = now
	logger.Log(a.logger, logger.KeysExpire, zap.String("file", a.files.Certificate), zap.Time("not_after", a.credentials.notAfter))
}

// ServerConfig returns the TLS configuration for accepting connections.
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

// ClientConfig returns the TLS configuration for opening connections. Processes are
// addressed by IP addresses that change, so a peer is authenticated by the authority
// that signed its certificate and not by a name in it.
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

// verify checks the certificate of the peer against the current authorities.
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
