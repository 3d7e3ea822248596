// Package peer implements the communication between the processes of the system:
// mutual TLS with roles, the headers that carry work from a gateway to an agent and
// back, and the clients and servers of the connect services.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/settings"
)

// Role is the role of a process among its peers.
type Role string

// Roles that a certificate may contain, each as a DNS name with dnsNameSuffix.
const (
	RoleGateway Role = "entry"
	RoleAgent   Role = "agent"
)

// dnsNameSuffix is the suffix of the DNS names in certificates. Addresses change with
// every VM, so a peer is identified by its role and not by its address.
const dnsNameSuffix = ".kumquatlug.internal"

// DNSName returns the DNS name in certificates for the role.
func (r Role) DNSName() string { return string(r) + dnsNameSuffix }

// Keys holds the certificate of a process and the authority of its peers. A nil
// *Keys means plain connections, for loopback only.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// KeysConfig holds the PEM text, or the file names, of the keys of a process.
type KeysConfig struct {
	Certificate string
	Key         string
	Authority   string
}

// LoadKeys loads the keys in c, all of which are required.
func LoadKeys(c KeysConfig) (*Keys, error) {
	certificate, err := settings.PEM(c.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	key, err := settings.PEM(c.Key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	authority, err := settings.PEM(c.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("authority contains no certificate")
	}
	return &Keys{certificate: pair, authority: pool}, nil
}

// Server returns the TLS config of a listener for peers, nil for plain connections.
func (k *Keys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate},
		ClientCAs: k.authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// Client returns the TLS config for connections to a peer with role, nil for plain
// connections.
func (k *Keys) Client(role Role) *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate},
		RootCAs: k.authority, ServerName: role.DNSName(),
	}
}

// Scheme returns "https", or "http" for plain connections.
func (k *Keys) Scheme() string {
	if k == nil {
		return "http"
	}
	return "https"
}

// RequireRole rejects requests of peers whose certificate has none of roles. Otherwise an
// agent's key, which is stored on every target VM, would suffice to send orders to
// other agents. Plain connections have no certificate and are accepted.
func (k *Keys) RequireRole(next http.Handler, roles ...Role) http.Handler {
	if k == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasRole(r.TLS, roles) {
			http.Error(w, "this peer has not the role for that", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func hasRole(state *tls.ConnectionState, roles []Role) bool {
	if state == nil || len(state.PeerCertificates) == 0 {
		return false
	}
	for _, role := range roles {
		if state.PeerCertificates[0].VerifyHostname(role.DNSName()) == nil {
			return true
		}
	}
	return false
}

// PublicKeys holds the certificate that a process presents to callers and operators
// and that their own trust settings accept. They present no certificate.
type PublicKeys struct {
	certificate tls.Certificate
}

// LoadPublicKeys loads a certificate and its key from PEM text or files.
func LoadPublicKeys(certificate, key string) (*PublicKeys, error) {
	certificatePEM, err := settings.PEM(certificate)
	if err != nil {
		return nil, errors.Wrap(err, "public certificate")
	}
	keyPEM, err := settings.PEM(key)
	if err != nil {
		return nil, errors.Wrap(err, "public key")
	}
	pair, err := tls.X509KeyPair(certificatePEM, keyPEM)
	return &PublicKeys{certificate: pair}, errors.Wrap(err, "public certificate and key")
}

// Server returns the TLS config of a public listener, nil for plain connections.
func (k *PublicKeys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{k.certificate}}
}
