package retry

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of a [Pool].
const (
	// usablePoolFraction is the fraction of MinRetries that is in a pool. The rest is for retries
	// that reach their worker some time after they were allowed.
	usablePoolFraction = 0.9
	// maxClaimFraction limits one claim, so that one gateway can't take the whole pool at once.
	maxClaimFraction = 1.0 / 8
	// ClaimValidity is how long after a claim was begun its retries may be used.
	ClaimValidity = 2 * kumquatlug.Second
	// claimResolution is the span of time whose claims are stored as one, which bounds the row.
	claimResolution = 250
)

// Pool holds the retries that all gateways may send regardless of their requests, in a row of the
// platform's store. A gateway that has no credit left claims some of them before it sends them.
//
// The pool needs no count of the gateways, which a gateway that has just started does not know and
// one that is cut off from the store knows wrongly, and no memory of what an earlier process sent.
// Without the store there are no claims. With hundreds of gateways, a fixed part of each would be
// less than one retry; the pool gives them to the gateways that need them.
type Pool struct {
	config SharedBudgetConfig
}

// NewPool returns the pool of a budget.
func NewPool(c SharedBudgetConfig) Pool { return Pool{config: c.withDefaults()} }

// poolRow is the content of the row. Claims are in the order of their times, which are those of
// the store's clock.
type poolRow struct {
	// Era is the era of the store in which the row was written.
	Era    int64       `json:"era"`
	Claims []poolClaim `json:"claims"`
}

type poolClaim struct {
	AtMs    int64 `json:"at_ms"`
	Retries int   `json:"retries"`
}

// Claim is the outcome of looking at a pool.
type Claim struct {
	retries int
	row     []byte
	wait    kumquatlug.Millis
}

// Retries returns the number of claimed retries, zero if the pool has none. They may be used once
// Row was written, until [ClaimValidity] after the read of the row began.
func (c Claim) Retries() int { return c.retries }

// Row returns the content of the row to write if the row has not changed since it was read, nil if
// it is to stay.
func (c Claim) Row() []byte { return c.row }

// Wait returns the time in ms until the pool may have retries again, if it has none.
func (c Claim) Wait() kumquatlug.Millis { return c.wait }

// size returns the number of retries that may be claimed in any span.
func (p Pool) size() int { return int(usablePoolFraction * float64(p.config.MinRetries)) }

// span returns the length of the spans in which at most size retries are claimed: those that are
// used in one window were claimed in it or up to ClaimValidity before it.
func (p Pool) span() kumquatlug.Millis { return p.config.Window + ClaimValidity }

// Empty reports whether the pool never has any retries.
func (p Pool) Empty() bool { return p.size() == 0 }

// Claim claims up to this many retries from the pool in a row. It returns an error if the row can't
// be decoded; it then counts as used up, and the returned claim replaces it.
func (p Pool) Claim(row kumquatlug.Row, wanted int) (Claim, error) {
	now := row.ReadAt()
	content, err := p.decode(row)
	var kept []poolClaim
	used := 0
	for _, c := range content.Claims {
		c.AtMs = min(c.AtMs, int64(now))
		if kumquatlug.Millis(c.AtMs) > now-p.span() {
			kept = append(kept, c)
			used += c.Retries
		}
	}
	retries := min(wanted, max(int(maxClaimFraction*float64(p.size())), 1), p.size()-used)
	claim := Claim{retries: max(retries, 0)}
	if claim.retries > 0 {
		kept = appendClaim(kept, poolClaim{AtMs: int64(now), Retries: claim.retries})
	} else {
		claim.wait = p.span()
		if len(kept) > 0 {
			claim.wait = max(kumquatlug.Millis(kept[0].AtMs)+p.span()-now, 1)
		}
		if row.Exists() && content.Era == row.Era() && err == nil {
			return claim, nil
		}
	}
	text, encodeErr := json.Marshal(poolRow{Era: row.Era(), Claims: kept})
	claim.row = text
	return claim, errors.CombineErrors(err, encodeErr)
}

// appendClaim appends a claim, or adds it to the last one if that is from the same span of time.
func appendClaim(claims []poolClaim, c poolClaim) []poolClaim {
	if n := len(claims); n > 0 && claims[n-1].AtMs/claimResolution == c.AtMs/claimResolution {
		c.Retries += claims[n-1].Retries
		claims = claims[:n-1]
	}
	return append(claims, c)
}

// decode returns the content of the row. A row of an older era comes from a copy that lacks the last
// claims: it counts as used up now, as does one that can't be decoded. What is left is the rest of
// MinRetries, which is in no pool.
func (p Pool) decode(row kumquatlug.Row) (poolRow, error) {
	if !row.Exists() && row.Era() == 0 {
		return poolRow{}, nil
	}
	rest := p.config.MinRetries - p.size()
	usedUp := poolRow{Claims: []poolClaim{{AtMs: int64(row.ReadAt()), Retries: p.size() - rest}}}
	if !row.Exists() {
		return usedUp, nil
	}
	var content poolRow
	if err := json.Unmarshal(row.Value(), &content); err != nil {
		return usedUp, errors.Wrap(err, "decode the pool of retries")
	}
	if content.Era != row.Era() {
		return usedUp, nil
	}
	for _, c := range content.Claims {
		if c.Retries < 0 || c.Retries > p.config.MinRetries {
			return usedUp, errors.Newf("decode the pool of retries: a claim of %d", c.Retries)
		}
	}
	return content, nil
}
