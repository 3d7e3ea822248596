// Package quarantine decides what becomes of calls that were in hand at a
// target when it crashed.
//
// It answers the request that crashes each target that runs it. Retried like
// any other cut call, and sent again by its caller, it walks through the group
// and takes one target after the other down, with everything that runs there.
// Refusing all that was in hand at a crash would stop it, and would also
// refuse some fifty callers who did nothing. So every crash makes suspects of
// the calls in hand, and a suspect is run once more under watch:
//
//   - at most one suspect is in hand at a target, and while it starts (until
//     its first output) nothing else starts there; see [Gate];
//   - it runs only under a claim in the platform's table, so that one copy of
//     it runs in the whole fleet, whichever entry it came through (see
//     [Arrival] for when the table is out);
//   - if the target crashes while the suspect alone was starting, or while it
//     was the only call there, its guilt is proven. It is quarantined, and the
//     calls that were its neighbours at any crash are free of that crash;
//   - if it crashes its second target in another way, it is held: it runs again
//     only if somebody else's guilt explains one of its crashes;
//   - if it finishes, it is free.
//
// Crashes are known by target and incarnation, so that one crash that is seen
// by several entries counts once. What is known spreads with the heartbeats as
// [Notice] values, whose merge does not depend on order or repetition.
//
// # The bound
//
// Let n be the number of copies of a request that began as ordinary calls
// before the news of its first crash reached their agents; the news needs two
// heartbeats ([Config.Settle]). However often and through whichever entry it is
// sent, the request crashes at most
//
//   - two targets, if n is 1: the one where it came to notice, and the one
//     where it ran under watch. The claim sees to it when several entries hold
//     the same suspect: one claim is granted in the life of its row. While the
//     table is out, each entry that holds a copy may run it once;
//   - n targets, if n is 2 or more and each copy crashes within Config.Settle
//     of the first: two crashes are known before a copy is sent under watch,
//     and none is. So two entries that send it at the same moment crash two;
//   - n+1 targets, if copies crash later than that, after the watched one;
//   - one more than that for each other request that is proven guilty of a
//     crash of it which is not proven its own, because that crash is then taken
//     for explained. This needs two such requests at one target at one moment,
//     one of which crashes late in its output.
//
// A request that is sent for as long as it likes stays quarantined: each
// sending prolongs it. After [Config.Period] of silence it is forgotten and
// the bound begins anew; an engine may have been mended since.
//
// # Innocent neighbours
//
// Two unrelated crashes do not quarantine a neighbour: nobody is proven guilty
// for being near, and one that was near twice is held only until the guilt of
// the one who did it is proven, which takes one watched run. What remains: a
// neighbour of two requests that both crash late in their output, when their
// guilt can't be proven, is held until its entry gives up; and so is one that
// could not wait to be the only suspect at its target ([Arrival]) and met there
// a suspect that crashes late.
//
// The types of this package belong to one loop and are not safe for concurrent
// use.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Fingerprint tells requests apart by who sends what: equal requests of one
// caller have the same one.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request. It is 128 bits of a
// cryptographic hash: with a weaker one a caller could make a request that
// quarantines another caller's.
func NewFingerprint(caller string, kind kumquatlug.Kind, body []byte) Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, caller+"\x00"+kind.String()+"\x00")
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Crash names the end of one life of a target.
type Crash struct {
	target      string
	incarnation string
}

// NewCrash returns the crash that ended an incarnation of a target.
func NewCrash(target, incarnation string) Crash {
	return Crash{target: target, incarnation: incarnation}
}

// Target returns the target's name.
func (c Crash) Target() string { return c.target }

// Incarnation returns the life of the target that ended.
func (c Crash) Incarnation() string { return c.incarnation }

// Held is a call that was in hand at a crash.
type Held struct {
	// Fingerprint is the call's.
	Fingerprint Fingerprint
	// Starting says that it had brought no output yet.
	Starting bool
	// Proven says that nothing else can have caused the crash.
	Proven bool
}

// Standing is what a register thinks of a fingerprint.
type Standing string

// The standings.
const (
	// StandingFree: nothing speaks against it.
	StandingFree Standing = "free"
	// StandingSuspect: it was in hand at a crash and runs under watch.
	StandingSuspect Standing = "suspect"
	// StandingHeld: it was in hand at two crashes. It does not run unless one
	// of them is explained; who waits for it may wait for [Opinion.Wait].
	StandingHeld Standing = "held"
	// StandingQuarantined: it is proven to have crashed a target. It is given a
	// final answer at once.
	StandingQuarantined Standing = "quarantined"
)

// Opinion is the answer of a [Register] about a fingerprint.
type Opinion struct {
	standing  Standing
	wait      kumquatlug.Millis
	remaining kumquatlug.Millis
}

// Standing returns what is thought of the fingerprint.
func (o Opinion) Standing() Standing { return o.standing }

// Wait returns for a suspect how long to wait before it is sent, and for one
// that is held how long it is still worth waiting.
func (o Opinion) Wait() kumquatlug.Millis { return o.wait }

// Remaining returns how long the standing lasts if nothing else happens.
func (o Opinion) Remaining() kumquatlug.Millis { return o.remaining }

// Refused reports whether a new request with the fingerprint is to be given a
// final answer at once.
func (o Opinion) Refused() bool {
	return o.standing == StandingHeld || o.standing == StandingQuarantined
}

// Config is what a [Register] is made of. The zero value of each field stands
// for its default.
type Config struct {
	// Period is how long a crash is remembered after the last sign of the
	// request. Default 1 h: a caller's program that tries again does so within
	// minutes, and a wrong quarantine ends within the morning.
	Period kumquatlug.Millis
	// Settle is how long a suspect that had brought no output when its target
	// crashed waits before it is sent again. Default 2.5 s: the news needs two
	// heartbeats of a second, target to entry and entry to target, and their
	// way. Calls that had brought output, nearly all of them innocent, do not
	// wait.
	Settle kumquatlug.Millis
	// Hold is how long a call that was near two crashes is worth waiting for.
	// Default 10 s: the guilty one settles, queues for a watched start and
	// crashes within that time.
	Hold kumquatlug.Millis
	// Records bounds the fingerprints that are remembered. Default 4,096: at
	// 200 bytes each 0.8 MB, and fifty suspects each of eighty crashes within
	// the period.
	Records int
}

func (c Config) withDefaults() Config {
	c.Period = cmp.Or(c.Period, kumquatlug.Hour)
	c.Settle = cmp.Or(c.Settle, 2500)
	c.Hold = cmp.Or(c.Hold, 10*kumquatlug.Second)
	c.Records = cmp.Or(c.Records, 4096)
	return c
}
