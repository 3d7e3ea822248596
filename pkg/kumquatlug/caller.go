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

// CallerConfig configures a [Caller]; it is also its stored JSON form.
type CallerConfig struct {
	Name string `json:"name"`
	// KeyHash is HashKey of the bearer key; the key itself is never stored.
	KeyHash string `json:"key_hash"`
	// Weight is the caller's relative share when callers compete; zero means one.
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond limits the estimated tokens requested; zero means no limit.
	TokensPerSecond int64 `json:"tokens_per_second,omitempty"`
	// Concurrency limits the requests in flight; zero means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// Priority ranks the account's work, 0 first, and overrides the priority of the
	// kind of work; nil keeps that one.
	Priority *int `json:"priority,omitempty"`
}

// NewCaller validates c and returns the caller.
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

// DecodeCaller decodes a caller from its stored JSON form.
func DecodeCaller(value []byte) (Caller, error) {
	var c CallerConfig
	if err := json.Unmarshal(value, &c); err != nil {
		return Caller{}, errors.Wrap(err, "read a caller")
	}
	return NewCaller(c)
}

// HashKey returns the hash under which a bearer key is stored and looked up. Keys are
// long random strings, so an unsalted hash can't be reversed by search.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Name returns the account's name.
func (c Caller) Name() string { return c.name }

// KeyHash returns the hash of the account's bearer key.
func (c Caller) KeyHash() string { return c.keyHash }

// Weight returns the caller's relative share when callers compete, at least one.
func (c Caller) Weight() int { return c.weight }

// TokensPerSecond returns the limit on estimated tokens, zero for none.
func (c Caller) TokensPerSecond() int64 { return c.tokensPerSecond }

// Concurrency returns the limit on requests in flight, zero for none.
func (c Caller) Concurrency() int { return c.concurrency }

// Priority returns the priority of the account's work, 0 first, and whether one is set.
func (c Caller) Priority() (int, bool) { return c.priority, c.hasPriority }

// Credential identifies the account of a request. It holds a hash, never a key.
type Credential struct {
	keyCount int
	hash     string
}

// NewCredential returns the credential of a request with these keys; empty keys are
// ignored.
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

// KeyCount returns the number of keys in the request.
func (c Credential) KeyCount() int { return c.keyCount }

// Hash returns [HashKey] of the last key, empty if there is none.
func (c Credential) Hash() string { return c.hash }
