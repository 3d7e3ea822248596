// Package accounts looks up the client account of a request by its API key.
//
// Keys are added, moved and revoked while requests arrive at every gateway. A [Book] is an
// immutable index of one version of the operator's config, and a lookup costs one hash and
// one map access regardless of the number of keys. It holds only hashes of keys, so that a
// memory dump reveals none.
package accounts

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Verdict is the result of checking the key of a request.
type Verdict string

// The verdicts.
const (
	// VerdictKnown: the key belongs to an account.
	VerdictKnown Verdict = "known"
	// VerdictNoKey: the request has no key.
	VerdictNoKey Verdict = "no_key"
	// VerdictSeveralKeys: the request has more than one key, so that its account is ambiguous.
	VerdictSeveralKeys Verdict = "several_keys"
	// VerdictUnknownKey: the key belongs to no account.
	VerdictUnknownKey Verdict = "unknown_key"
)

// Book holds the accounts of one version of the config. It is safe for concurrent use.
type Book struct{ byKeyHash map[string]kumquatlug.Caller }

// NewBook returns the index of the accounts. There is one caller for each key of an account;
// if two callers have the same key, the first one is used.
func NewBook(callers []kumquatlug.Caller) *Book {
	b := &Book{byKeyHash: make(map[string]kumquatlug.Caller, len(callers))}
	for _, c := range callers {
		if _, taken := b.byKeyHash[c.KeyHash()]; !taken {
			b.byKeyHash[c.KeyHash()] = c
		}
	}
	return b
}

// ByHash returns the account by the hash of its key, see [kumquatlug.HashKey].
func (b *Book) ByHash(hash string) (kumquatlug.Caller, bool) {
	c, known := b.byKeyHash[hash]
	return c, known
}

// Find returns the account of a credential.
func (b *Book) Find(c kumquatlug.Credential) (kumquatlug.Caller, Verdict) {
	switch {
	case c.Keys() == 0:
		return kumquatlug.Caller{}, VerdictNoKey
	case c.Keys() > 1:
		return kumquatlug.Caller{}, VerdictSeveralKeys
	}
	account, known := b.ByHash(c.Hash())
	if !known {
		return kumquatlug.Caller{}, VerdictUnknownKey
	}
	return account, VerdictKnown
}
