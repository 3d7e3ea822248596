// Package accounts looks up the client account of a request by its API key.
//
// Keys are added, moved and revoked while requests arrive at every gateway. An [Index] is
// an immutable index of one version of the operator's config, and a lookup costs one hash
// and one map access regardless of the number of keys. It holds only hashes of keys, so
// that a memory dump reveals none.
package accounts

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// KeyStatus is the result of checking the key of a request.
type KeyStatus string

// The key statuses.
const (
	// KeyKnown: the key belongs to an account.
	KeyKnown KeyStatus = "known"
	// KeyMissing: the request has no key.
	KeyMissing KeyStatus = "no_key"
	// KeyAmbiguous: the request has more than one key, so that its account is ambiguous.
	KeyAmbiguous KeyStatus = "several_keys"
	// KeyUnknown: the key belongs to no account.
	KeyUnknown KeyStatus = "unknown_key"
)

// Index holds the accounts of one version of the config. It is safe for concurrent use.
type Index struct{ byKeyHash map[string]kumquatlug.Caller }

// NewIndex returns the index of the accounts. There is one caller for each key of an account;
// if two callers have the same key, the first one is used.
func NewIndex(callers []kumquatlug.Caller) *Index {
	b := &Index{byKeyHash: make(map[string]kumquatlug.Caller, len(callers))}
	for _, c := range callers {
		if _, taken := b.byKeyHash[c.KeyHash()]; !taken {
			b.byKeyHash[c.KeyHash()] = c
		}
	}
	return b
}

// ByHash returns the account by the hash of its key, see [kumquatlug.HashKey].
func (b *Index) ByHash(hash string) (kumquatlug.Caller, bool) {
	c, known := b.byKeyHash[hash]
	return c, known
}

// Find returns the account of a credential.
func (b *Index) Find(c kumquatlug.Credential) (kumquatlug.Caller, KeyStatus) {
	switch {
	case c.KeyCount() == 0:
		return kumquatlug.Caller{}, KeyMissing
	case c.KeyCount() > 1:
		return kumquatlug.Caller{}, KeyAmbiguous
	}
	account, known := b.ByHash(c.Hash())
	if !known {
		return kumquatlug.Caller{}, KeyUnknown
	}
	return account, KeyKnown
}
