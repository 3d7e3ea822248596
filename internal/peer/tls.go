// Package peer speaks between the processes of the system: who the other side
// is, how work and its answer travel from an entry to an agent, and where the
// connect services of a process are reached.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/settings"
)

// Role is what a process is to its peers.
type Role string

// The roles that a certificate may give, each as a DNS name below dnsNameSuffix.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// dnsNameSuffix ends the DNS names in our certificates. Addresses change with
// every VM, so a peer is known by its role's name and not by where it runs.
const dnsNameSuffix = ".kumquatlug.internal"

// DNSName returns the name that a certificate for role carries.
func (r Role) DNSName() string { return string(r) + dnsNameSuffix }

// Keys are a process's own certificate and the authority of its peers. The
// zero value means plain connections, which are for loopback only.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// KeysConfig names the PEM text, or the files, of a process's keys.
type KeysConfig struct {
	Certificate string
	Key         string
	Authority   string
}

// LoadKeys reads keys; all three parts are needed.
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
		return nil, errors.New("authority holds no certificate")
	}
	return &Keys{certificate: pair, authority: pool}, nil
}

// Server returns the TLS settings for a listener that only peers may use, nil
// for plain connections.
func (k *Keys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate},
		ClientCAs: k.authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// Client returns the TLS settings to dial a peer of the given role, nil for
// plain connections.
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

// Only lets a request through when its peer's certificate has one of roles.
// Without it an agent's key, which lies on every target VM, could order about
// other agents. Plain connections have no certificate and pass.
func (k *Keys) Only(next http.Handler, roles ...Role) http.Handler {
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

// PublicKeys are what callers and operators see of a process: a certificate
// that their own trust settings accept. They show no certificate themselves.
type PublicKeys struct {
	certificate tls.Certificate
}

// LoadPublicKeys reads a certificate and its key from PEM text or files.
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

// Server returns the TLS settings for a public listener, nil for plain ones.
func (k *PublicKeys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{k.certificate}}
}
