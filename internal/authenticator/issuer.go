package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	serialBits      = 120
	privateFileMode = 0o600
	directoryMode   = 0o700
)

// Issuer is a certificate authority for tests and the demo. Deployments provide their
// own.
type Issuer struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewIssuer generates an authority and writes its certificate to dir.
func NewIssuer(dir string, now time.Time, valid time.Duration) (i *Issuer, err error) {
	if err = os.MkdirAll(dir, directoryMode); err != nil {
		return nil, eris.Wrap(err, "create key directory")
	}
	i = &Issuer{dir: dir}
	if i.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, eris.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("flamingoledge trial authority", now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &i.key.PublicKey, i.key)
	if err != nil {
		return nil, eris.Wrap(err, "create authority certificate")
	}
	if i.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, eris.Wrap(err, "parse authority certificate")
	}
	return i, writePEM(i.authorityFile(), "CERTIFICATE", der)
}

func (i *Issuer) authorityFile() string { return filepath.Join(i.dir, "authority.pem") }

// Issue generates a key and a certificate for a process and writes them to files.
func (i *Issuer) Issue(name string, now time.Time, valid time.Duration) (f Files, err error) {
	f = Files{
		Certificate: filepath.Join(i.dir, name+".pem"),
		Key:         filepath.Join(i.dir, name+".key"),
		Authority:   i.authorityFile(),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, eris.Wrapf(err, "generate key for %s", name)
	}
	template, err := newTemplate(name, now, valid)
	if err != nil {
		return f, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &key.PublicKey, i.key)
	if err != nil {
		return f, eris.Wrapf(err, "create certificate for %s", name)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, eris.Wrapf(err, "encode key for %s", name)
	}
	if err = writePEM(f.Key, "PRIVATE KEY", private); err != nil {
		return f, err
	}
	return f, writePEM(f.Certificate, "CERTIFICATE", der)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(valid),
	}, nil
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrap(os.WriteFile(file, data, privateFileMode), "write "+file)
}
