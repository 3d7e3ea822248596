package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// serialBits is the size of a certificate's serial number, which must not
// repeat below one authority.
const serialBits = 120

// Authority issues the certificates of one deployment's processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
	validity    time.Duration
}

// NewAuthority makes a new authority whose certificates are valid for a span
// from now.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	template, err := newTemplate("kumquatlug authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority")
	}
	return &Authority{certificate: template, key: key, der: der, validity: validity}, nil
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
	}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})
}

// Issue returns a certificate for role and its key, both as PEM text.
func (a *Authority) Issue(role Role) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a key")
	}
	template, err := newTemplate("kumquatlug "+string(role), a.validity)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{role.DNSName()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign a certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode a key")
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return certificate, key, nil
}
