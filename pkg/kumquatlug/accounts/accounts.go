// Package accounts decides which client account a request belongs to, by the key that
// it carries.
//
// It answers keys that are added, moved and taken away while requests arrive at
// every front: a [Book] is one whole version of the operator's config, is never
// changed, and costs one hash and one look-up a request however many keys there
// are. It keeps hashes of keys only, so that no dump of a process tells one.
package accounts

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Verdict is what the key of a request says.
type Verdict string

// The verdicts.
const (
	// VerdictKnown: the key belongs to an account.
	VerdictKnown Verdict = "known"
	// VerdictNoKey: the request carries none.
	VerdictNoKey Verdict = "no_key"
	// VerdictSeveralKeys: it carries more than one; which was meant can't be told.
	VerdictSeveralKeys Verdict = "several_keys"
	// VerdictUnknownKey: no account has the key.
	VerdictUnknownKey Verdict = "unknown_key"
)

// Book holds the accounts of one version of the config. It may be read by many
// goroutines.
type Book struct{ byKeyHash map[string]kumquatlug.Caller }

// NewBook returns the book of these accounts, each with one of its keys. Of two
// accounts with the same key the first one has it.
func NewBook(callers []kumquatlug.Caller) *Book {
	b := &Book{byKeyHash: make(map[string]kumquatlug.Caller, len(callers))}
	for _, c := range callers {
		if _, taken := b.byKeyHash[c.KeyHash()]; !taken {
			b.byKeyHash[c.KeyHash()] = c
		}
	}
	return b
}

// ByHash returns the account whose key has this hash, as of [kumquatlug.HashKey].
func (b *Book) ByHash(hash string) (kumquatlug.Caller, bool) {
	c, known := b.byKeyHash[hash]
	return c, known
}

// Find returns the account that a credential belongs to.
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
