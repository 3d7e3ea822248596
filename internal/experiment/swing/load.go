package swing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// request is one request of a client.
type request struct {
	arrivesAt kumquatlug.Millis
	gateway   int
	stream    bool
	prompt    kumquatlug.Prompt
	// uniqueTokens is the number of prompt tokens that no other request shares.
	uniqueTokens, outputTokens int
	// value is the value of a response whose first output meets ttftTarget, lateValue of
	// one whose first output is later. relativeValue is value relative to the mean of
	// requests of this kind.
	value, lateValue, relativeValue float64
	// ttftTarget and timeout are measured from the arrival.
	ttftTarget, timeout kumquatlug.Millis
	retries             int
	// firstOutputAt is when the client received the first output, zero if it has not.
	firstOutputAt kumquatlug.Millis
	done          bool
	// prefills counts the prefills of the prompt, calls the calls to engines; excluded are
	// the engines that refused it.
	prefills, calls int
	excluded        []string
	// abandoned says that the client timed out before the end of the response.
	abandoned bool
}

// Sizes of requests in tokens or events, as the users' specifications give them: means,
// coefficients of variation (CV), and maxima.
const (
	// A document's prompt consists of a root shared by many chains, a chain shared by some
	// documents, and unique tokens.
	uniqueTokensMean, uniqueTokensCV, uniqueTokensMax = 2890.0, 1.0, 39_600.0
	rootTokens, rootCount                             = 2520.0, 4
	chainTokensMean, chainTokensCV, chainTokensMax    = 3780.0, 0.7, 11_300.0
	documentEventsMean, documentEventsCV              = 1.5, 1.4
	documentEventsMax                                 = 6.0
	streamUniqueTokens, streamSharedTokens            = 141, 79
	streamEventsMean, streamEventsCV                  = 89.2, 0.84
	streamEventsMax                                   = 211.0
	streamEventsTypical                               = 89
	// fixedValueFraction is the fraction of a request's value that does not grow with its size,
	// maxRelativeValue the maximum value of a large request relative to the mean.
	fixedValueFraction, maxRelativeValue = 0.3, 4.0
)

// lognormal returns a log-normal random number with the given mean and coefficient of
// variation, limited to upperBound.
func lognormal(random *rand.Rand, mean, cv, upperBound float64) float64 {
	variance := math.Log(1 + cv*cv)
	return min(math.Exp(math.Log(mean)-variance/2+math.Sqrt(variance)*random.NormFloat64()), upperBound)
}

// generateRequests returns random requests for a load, in order of arrival.
func generateRequests(config SiteConfig, load []Arrivals, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	chains := make([]int, config.PrefixChains)
	for i := range chains {
		chains[i] = int(lognormal(random, chainTokensMean, chainTokensCV, chainTokensMax))
	}
	var requests []*request
	for index, interval := range load {
		begin := kumquatlug.Millis(index) * intervalLength
		for range interval.Documents {
			requests = append(requests, newDocument(config, random, begin, chains))
		}
		for range interval.Streams {
			requests = append(requests, newStream(config, random, begin))
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].arrivesAt < requests[j].arrivesAt })
	return requests
}

func arrivalTime(random *rand.Rand, begin kumquatlug.Millis) kumquatlug.Millis {
	return begin + kumquatlug.Millis(random.Int64N(int64(intervalLength)))
}

// outputTokens returns the number of tokens in the given number of events. The first event
// is sent with the first token, each further one after config.Event more tokens.
func outputTokens(config SiteConfig, events float64) int {
	return max(int(events)-1, 0)*config.EventTokens + 1
}

func newDocument(config SiteConfig, random *rand.Rand, begin kumquatlug.Millis, chains []int) *request {
	// A skew of 0.3 makes chains with a low index somewhat more frequent.
	chain := int(float64(len(chains)) * math.Pow(random.Float64(), 1/(1-0.3)))
	unique := max(int(lognormal(random, uniqueTokensMean, uniqueTokensCV, uniqueTokensMax)), 1)
	shared := int(rootTokens) + chains[chain]
	prompt := kumquatlug.NewPrompt([]kumquatlug.Part{
		kumquatlug.NewPart(fmt.Sprint("top", chain%rootCount), int(rootTokens)),
		kumquatlug.NewPart(fmt.Sprint("chain", chain), chains[chain]),
		kumquatlug.NewPart(fmt.Sprint("own", random.Uint64()), unique),
	}, shared+unique, 2*config.EventTokens)
	relativeValue := min(fixedValueFraction+(1-fixedValueFraction)*float64(shared+unique)/(rootTokens+chainTokensMean+uniqueTokensMean), maxRelativeValue)
	return &request{
		arrivesAt: arrivalTime(random, begin), gateway: random.IntN(config.Gateways), prompt: prompt, uniqueTokens: unique, outputTokens: outputTokens(config, lognormal(random, documentEventsMean, documentEventsCV, documentEventsMax)),
		value: config.DocumentValue * relativeValue, lateValue: config.DocumentLateValue * relativeValue, relativeValue: relativeValue, ttftTarget: config.DocumentTTFTTarget, timeout: config.DocumentTimeout,
	}
}

func newStream(config SiteConfig, random *rand.Rand, begin kumquatlug.Millis) *request {
	events := max(lognormal(random, streamEventsMean, streamEventsCV, streamEventsMax), 1)
	relativeValue := min(fixedValueFraction+(1-fixedValueFraction)*events/streamEventsMean, maxRelativeValue)
	return &request{
		arrivesAt: arrivalTime(random, begin), gateway: random.IntN(config.Gateways), stream: true, uniqueTokens: streamUniqueTokens, outputTokens: outputTokens(config, events),
		prompt: kumquatlug.NewPrompt([]kumquatlug.Part{
			kumquatlug.NewPart(fmt.Sprint("hello", random.IntN(20)), streamSharedTokens), kumquatlug.NewPart(fmt.Sprint("own", random.Uint64()), streamUniqueTokens),
		}, streamSharedTokens+streamUniqueTokens, 2*streamEventsTypical*config.EventTokens),
		value: config.StreamValue * relativeValue, lateValue: config.StreamLateValue * relativeValue, relativeValue: relativeValue, ttftTarget: config.StreamTTFTTarget, timeout: config.StreamTimeout,
	}
}

// LargeBurst is a burst at the site with the most machines: for four seconds, nearly four
// times the usual number of documents arrive.
var LargeBurst = []Arrivals{{1012, 52}, {1012, 52}, {3760, 60}, {3760, 60}, {1012, 52}}

// BogotaScale and BogotaTrouble are the arrivals on two standard days of Bogota according
// to the logs of its gateways. Retries by clients count as arrivals.
var (
	BogotaScale = []Arrivals{
		{276, 56},
		{165, 88},
		{229, 60},
		{136, 145},
		{118, 163},
		{235, 123},
		{85, 153},
		{173, 129},
		{327, 37},
		{306, 15},
		{895, 13},
		{1130, 18},
		{431, 46},
		{1009, 11},
		{856, 20},
		{358, 14},
		{330, 8},
		{327, 97},
		{320, 34},
		{313, 53},
		{281, 53},
		{311, 56},
		{340, 49},
		{335, 43},
		{242, 31},
	}
	BogotaTrouble = []Arrivals{
		{392, 23},
		{655, 31},
		{262, 22},
		{650, 5},
		{786, 15},
		{308, 28},
		{805, 15},
		{630, 11},
		{250, 41},
		{185, 38},
		{84, 92},
		{106, 97},
		{256, 37},
		{74, 74},
		{132, 56},
		{193, 19},
		{268, 0},
		{320, 48},
		{271, 170},
		{272, 42},
		{267, 48},
		{276, 41},
		{296, 41},
		{314, 32},
		{288, 37},
	}
)
