package kumquatlug

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Caller is an account that sends requests.
type Caller struct {
	name            string
	keyHash         string
	weight          int
	tokensPerSecond int64
	concurrency     int
	priority        int
	hasPriority     bool
}

// CallerConfig is what a [Caller] is made of; it is also its stored JSON form.
type CallerConfig struct {
	Name string `json:"name"`
	// KeyHash is HashKey of the bearer key; the key itself is kept nowhere.
	KeyHash string `json:"key_hash"`
	// Weight is the caller's part when callers compete; zero means one.
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond bounds the estimated tokens asked for; zero sets no bound.
	TokensPerSecond int64 `json:"tokens_per_second,omitempty"`
	// Concurrency bounds the requests in hand; zero sets no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// Priority ranks the account's work, 0 first, whatever the kind of work has;
	// nil leaves that to the kind.
	Priority *int `json:"priority,omitempty"`
}

// NewCaller checks c and returns the caller.
func NewCaller(c CallerConfig) (Caller, error) {
	if c.Name == "" || len(c.KeyHash) != 2*sha256.Size {
		return Caller{}, errors.New("a caller needs a name and a hashed key")
	}
	if c.Weight < 0 || c.TokensPerSecond < 0 || c.Concurrency < 0 {
		return Caller{}, errors.Newf("caller %q: limits can't be negative", c.Name)
	}
	if c.Weight == 0 {
		c.Weight = 1
	}
	caller := Caller{
		name: c.Name, keyHash: c.KeyHash, weight: c.Weight,
		tokensPerSecond: c.TokensPerSecond, concurrency: c.Concurrency,
	}
	if c.Priority != nil {
		caller.priority, caller.hasPriority = *c.Priority, true
	}
	return caller, nil
}

// DecodeCaller reads a caller from its stored JSON form.
func DecodeCaller(value []byte) (Caller, error) {
	var c CallerConfig
	if err := json.Unmarshal(value, &c); err != nil {
		return Caller{}, errors.Wrap(err, "read a caller")
	}
	return NewCaller(c)
}

// HashKey returns the form in which a bearer key is stored and looked up. Keys
// are long random strings, so a plain hash can't be searched.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Name returns the account's name.
func (c Caller) Name() string { return c.name }

// KeyHash returns the hash of the account's bearer key.
func (c Caller) KeyHash() string { return c.keyHash }

// Weight returns the caller's part when callers compete, at least one.
func (c Caller) Weight() int { return c.weight }

// TokensPerSecond returns the bound on estimated tokens, zero for none.
func (c Caller) TokensPerSecond() int64 { return c.tokensPerSecond }

// Concurrency returns the bound on requests in hand, zero for none.
func (c Caller) Concurrency() int { return c.concurrency }

// Priority returns the rank of the account's work, 0 first, and whether it has one.
func (c Caller) Priority() (int, bool) { return c.priority, c.hasPriority }

// Credential is what a request carries to say whose it is. It holds a hash, never
// a key.
type Credential struct {
	keyCount int
	hash     string
}

// NewCredential returns the credential of a request with these keys; empty ones
// don't count.
func NewCredential(keys []string) Credential {
	var c Credential
	for _, key := range keys {
		if key == "" {
			continue
		}
		c.keyCount++
		c.hash = HashKey(key)
	}
	return c
}

// Keys returns how many keys the request carries.
func (c Credential) Keys() int { return c.keyCount }

// Hash returns [HashKey] of the last key, empty without one.
func (c Credential) Hash() string { return c.hash }
