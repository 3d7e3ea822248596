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

// serialBits is the size of a certificate's serial number, which must be unique per
// authority.
const serialBits = 120

// Authority is a certificate authority for the processes of one deployment.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
	validity    time.Duration
}

// NewAuthority creates an authority. Its own certificate and those that it issues
// are valid for the given time from their creation.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
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
		return nil, errors.Wrap(err, "sign the authority's certificate")
	}
	return &Authority{certificate: template, key: key, der: der, validity: validity}, nil
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
	}, nil
}

// PEM returns the authority's certificate as PEM text.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})
}

// Issue returns a certificate for role and its private key, both as PEM text.
func (a *Authority) Issue(role Role) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate a key")
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
