// Package quarantine decides how to treat calls that were in flight at a target
// when it crashed.
//
// It contains the damage of a request that crashes each target that runs it.
// Retried like any other interrupted call, and sent again by its caller, such a
// request crashes one target of the group after the other, with all calls in
// flight there. Refusing everything that was in flight at a crash would stop
// it, but would also refuse some fifty unrelated callers. Instead, every crash
// makes suspects of the calls in flight, and a suspect gets one isolated run:
//
//   - At most one suspect is in flight at a target, and while it starts (until
//     its first output) nothing else starts there; see [Gate].
//   - It runs only under a claim in the platform's table, so that one copy of
//     it runs in the whole fleet, whichever gateway accepted it (see [StartRequest]
//     for when the table is unavailable).
//   - If the target crashes while only the suspect was starting, or while it
//     was the only call there, it is proven to be the cause. It is quarantined,
//     and the calls that were in flight with it at any crash (its neighbours)
//     are cleared of that crash.
//   - If its second target crashes in another way, it is held: it runs again
//     only if another request is proven to be the cause of one of its crashes.
//   - If it finishes, it is free.
//
// A crash is identified by target and incarnation, so that one crash seen by
// several gateways counts once. State is exchanged with the heartbeats as
// [Notice] values, whose merge does not depend on order or repetition.
//
// # Bound on crashes
//
// Let n be the number of copies of a request that started as ordinary calls
// before the notice of its first crash reached their agents, which takes two
// heartbeats ([Config.SettleDelay]). However often and through whichever gateway it
// is sent, the request crashes at most
//
//   - two targets, if n is 1: one where it runs as an ordinary call, and one in
//     its isolated run. The claim ensures this when several gateways hold the
//     same suspect: one claim is granted in the lifetime of its row. While the
//     table is unavailable, each gateway that holds a copy may run it once;
//   - n targets, if n is 2 or more and each copy crashes within Config.SettleDelay
//     of the first: two crashes are known before a copy is sent for an isolated
//     run, and none is sent. So two gateways that send it at the same moment
//     crash two;
//   - n+1 targets, if copies crash later than that, after the isolated run;
//   - one more for each other request that is proven to be the cause of a crash
//     which this request caused without proof, because that crash then counts
//     as explained. This needs two such requests at one target at the same
//     moment, one of which crashes late in its output.
//
// A request that is sent continuously stays quarantined, because each attempt
// extends its quarantine. After [Config.Retention] without one it is forgotten and
// the bound applies anew; the engine may have been fixed since.
//
// # Unrelated neighbours
//
// Two unrelated crashes do not quarantine a neighbour: being in flight at a
// crash proves nothing, and a request that was in flight at two is held only
// until the cause of one is proven, which takes one isolated run. Two cases
// remain. A neighbour of two requests that both crash late in their output, so
// that neither can be proven to be the cause, is held until its gateway gives
// up. So is a call that could not wait to be the only suspect at its target
// ([StartRequest.Urgent]) and ran there with a suspect that crashes late.
//
// The types of this package are not safe for concurrent use.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Fingerprint identifies a request by caller and content: identical requests of
// one caller have the same fingerprint.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request. It is 128 bits of a
// cryptographic hash: with a weaker hash, a caller could construct a request
// that quarantines another caller's.
func NewFingerprint(caller string, kind kumquatlug.Kind, body ...[]byte) Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, caller+"\x00"+kind.String()+"\x00")
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Crash identifies the crash of one incarnation of a target.
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

// Incarnation returns the incarnation of the target that crashed.
func (c Crash) Incarnation() string { return c.incarnation }

// InFlightCall is a call that was in flight at a crash.
type InFlightCall struct {
	// Fingerprint is the fingerprint of the call.
	Fingerprint Fingerprint
	// Starting reports whether the call had produced no output yet.
	Starting bool
	// Proven reports whether nothing else can have caused the crash.
	Proven bool
}

// Standing is the state of a fingerprint in a registry.
type Standing string

// Standings of a fingerprint.
const (
	// StandingFree: no crash counts against it.
	StandingFree Standing = "free"
	// StandingSuspect: it was in flight at a crash and may have one isolated
	// run.
	StandingSuspect Standing = "suspect"
	// StandingHeld: it was in flight at two crashes. It does not run unless the
	// cause of one of them is proven; a caller may wait for [Assessment.Wait].
	StandingHeld Standing = "held"
	// StandingQuarantined: it is proven to have crashed a target. It is refused
	// at once.
	StandingQuarantined Standing = "quarantined"
)

// Assessment is the state of a fingerprint as returned by a [Registry].
type Assessment struct {
	standing  Standing
	wait      kumquatlug.Millis
	remaining kumquatlug.Millis
}

// Standing returns the standing of the fingerprint.
func (a Assessment) Standing() Standing { return a.standing }

// Wait returns, in milliseconds, for a suspect how long to wait before it is
// sent, and for a held fingerprint how long waiting may still help.
func (a Assessment) Wait() kumquatlug.Millis { return a.wait }

// Remaining returns how long the standing lasts without further events, in
// milliseconds.
func (a Assessment) Remaining() kumquatlug.Millis { return a.remaining }

// Refused reports whether a new request with the fingerprint must be refused at
// once.
func (a Assessment) Refused() bool {
	return a.standing == StandingHeld || a.standing == StandingQuarantined
}

// Config configures a [Registry]. The zero value of each field selects its
// default.
type Config struct {
	// Retention is how long a crash is remembered after the request was last seen,
	// in milliseconds. Default 1 h: a caller's program retries within minutes,
	// and a wrong quarantine ends within the morning.
	Retention kumquatlug.Millis
	// SettleDelay is the delay in milliseconds before a suspect that had produced no
	// output at the crash is sent again. Default 2.5 s: its notices need two
	// heartbeats of a second each, target to gateway and gateway to target, and
	// transmission time. Calls that had produced output are nearly all
	// unrelated to the crash and are not delayed.
	SettleDelay kumquatlug.Millis
	// HoldTime is how long a call that was in flight at two crashes may usefully
	// wait, in milliseconds. Default 10 s: the request that caused them waits
	// for SettleDelay, queues for an isolated run and crashes within that time.
	HoldTime kumquatlug.Millis
	// MaxRecords is the maximum number of fingerprints remembered. Default 4,096:
	// 0.8 MB at 200 bytes each, or fifty suspects for each of eighty crashes
	// within Retention.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	c.Retention = cmp.Or(c.Retention, kumquatlug.Hour)
	c.SettleDelay = cmp.Or(c.SettleDelay, 2500)
	c.HoldTime = cmp.Or(c.HoldTime, 10*kumquatlug.Second)
	c.MaxRecords = cmp.Or(c.MaxRecords, 4096)
	return c
}
