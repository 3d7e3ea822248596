// Package swing simulates a site whose load alternates between long prompts and long
// outputs: separate prefill and decode engines, several gateways that only have local
// knowledge, and clients that retry once. It runs the placement and planner packages
// themselves and computes which fraction of the offered value is delivered to clients, so
// that changes can be evaluated without a site. [UpperBound] returns an upper bound of it.
//
// The simulation leaves out failures, preemption (a request waits until memory for it is
// free), bytes, prices, and the CPU time of gateways. KV transfers take less than a
// millisecond unless a rate is configured.
package swing

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Arrivals is the number of requests of each kind that arrive within two seconds. Documents
// have long prompts and short outputs, streams have short prompts and long outputs.
type Arrivals struct {
	Documents int
	Streams   int
}

// intervalLength is the duration of a [Arrivals].
const intervalLength = 2 * kumquatlug.Second

// SiteConfig holds the parameters of a site. The zero value is not usable; start from
// [BaseSite] or [LargeSite].
type SiteConfig struct {
	// Engines, Zones and Gateways are the numbers of engines, zones and gateways.
	Engines, Zones, Gateways int
	// Coordinated enables coordination: gateways request permits from each other
	// before they send a prompt to an engine.
	Coordinated bool
	// PrefillTokensPerMs is the prefill rate in tokens per ms, MsPerMillionPairs the
	// attention time in ms per million pairs of tokens, ChunkTokens the size of a prefill
	// chunk in tokens.
	PrefillTokensPerMs, MsPerMillionPairs float64
	ChunkTokens                           int
	// StepMs is the duration of a decode step in ms. StepMsPerStream is added to it for
	// each stream of the batch, StepMsPerKiloToken for each 1,000 tokens in memory.
	StepMs, StepMsPerStream, StepMsPerKiloToken float64
	// Slots and KVCapacityTokens are an engine's maximum numbers of running requests and of
	// tokens in memory.
	Slots, KVCapacityTokens int
	// EventTokens is the number of tokens of one streamed event, RoleChangeTime the duration
	// of a role change.
	EventTokens    int
	RoleChangeTime kumquatlug.Millis
	// TransferTokensPerMs is the rate at which an engine transfers KV caches within a data
	// centre, in tokens per ms; zero if transfers take no time. With a rate, prompts that are
	// prefilled at a decode engine are prefilled one after another between its decode steps.
	TransferTokensPerMs float64
	// IgnoreTransfers makes gateways choose engines as if transfers took no time, for
	// comparison.
	IgnoreTransfers bool
	// RetryRatio and MinRetries limit the calls that are sent in addition to the first ones;
	// see [retry.SharedBudgetConfig].
	RetryRatio float64
	MinRetries int
	// PrefixChains is the number of chains of shared prompt parts.
	PrefixChains int
	// DocumentTTFTTarget and StreamTTFTTarget are the targets of the time to first output: a
	// request that meets its target has its full value. DocumentTimeout and StreamTimeout are
	// the times after which the client of a document or a stream gives up.
	DocumentTTFTTarget, StreamTTFTTarget, DocumentTimeout, StreamTimeout kumquatlug.Millis
	// DocumentValue and StreamValue are the value of a request of mean size whose first
	// output is on time, DocumentLateValue and StreamLateValue if it is late.
	DocumentValue, DocumentLateValue, StreamValue, StreamLateValue float64
}

// LargeSite returns the parameters of the users' site with the most machines, with the
// given number of gateways.
func LargeSite(gateways int) SiteConfig {
	s := BaseSite()
	s.Engines, s.Zones, s.Gateways, s.Slots, s.EventTokens, s.PrefixChains = 59, 5, gateways, 12, 58, 2868
	s.StreamTTFTTarget = 120
	s.DocumentValue, s.DocumentLateValue, s.StreamValue, s.StreamLateValue = 1.7, 0.5, 9.2, 2.8
	return s
}

// UniformSite returns the parameters of the users' site with 44 engines in four data centres
// and nine gateways, whose links between engines have this rate in Gbit/s. The cache of one
// token has 18,432 bytes.
func UniformSite(gigabits float64) SiteConfig {
	s := BaseSite()
	s.Engines, s.Zones, s.Gateways, s.Coordinated = 44, 4, 9, true
	s.DocumentTTFTTarget, s.StreamTTFTTarget = 600, 250
	s.TransferTokensPerMs = gigabits * 125_000 / 18_432
	s.RetryRatio, s.MinRetries = 0.1, 20
	return s
}

// BaseSite returns the parameters that the users' two sites have in common. The values of
// late requests are those of Bogota.
func BaseSite() SiteConfig {
	return SiteConfig{
		Engines: 12, Zones: 3, Gateways: 4, PrefillTokensPerMs: 236, MsPerMillionPairs: 0.138, ChunkTokens: 2048,
		StepMs: 0.637, StepMsPerStream: 0.00319, StepMsPerKiloToken: 0.00213, Slots: 64, KVCapacityTokens: 370_000, EventTokens: 52, RoleChangeTime: 3 * kumquatlug.Second,
		PrefixChains: 669, DocumentTTFTTarget: 200, StreamTTFTTarget: 150, DocumentTimeout: 2 * kumquatlug.Second, StreamTimeout: 15 * kumquatlug.Second,
		DocumentValue: 1.8, DocumentLateValue: 0.55, StreamValue: 4.1, StreamLateValue: 1.2,
	}
}
