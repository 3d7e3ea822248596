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
	// uniqueTokens is how many tokens of the prompt no other request shares, output how
	// many tokens it will generate.
	uniqueTokens, outputTokens int
	// value is what it is worth in time, late what it is worth late, credit the former
	// beside the mean one of its kind.
	value, lateValue, relativeValue float64
	ttftTarget, timeout             kumquatlug.Millis
	// retries counts the times that the client came back.
	retries int
	// firstOutputAt is when its first output came, zero for never.
	firstOutputAt kumquatlug.Millis
	done          bool
	// abandoned says that its client left before its end.
	abandoned bool
}

// Sizes of requests in tokens, as the users' sheets give them: means, coefficients
// of variation, and bounds.
const (
	uniqueTokensMean, uniqueTokensCV, uniqueTokensMax = 2890.0, 1.0, 39_600.0
	rootTokens, rootCount                             = 2520.0, 4
	chainTokensMean, chainTokensCV, chainTokensMax    = 3780.0, 0.7, 11_300.0
	documentEventsMean, documentEventsCV              = 1.5, 1.4
	documentEventsMax                                 = 6.0
	streamUniqueTokens, streamSharedTokens            = 141, 79
	streamEventsMean, streamEventsCV                  = 89.2, 0.84
	streamEventsMax                                   = 211.0
	streamEventsTypical                               = 89
	// fixedValueShare is the part of a request's worth that doesn't grow with its size,
	// maxRelativeValue the multiple of its worth that a large one has at most.
	fixedValueShare, maxRelativeValue = 0.3, 4.0
)

// lognormal draws with a mean, a coefficient of variation and a bound.
func lognormal(random *rand.Rand, mean, cv, upperBound float64) float64 {
	variance := math.Log(1 + cv*cv)
	return min(math.Exp(math.Log(mean)-variance/2+math.Sqrt(variance)*random.NormFloat64()), upperBound)
}

// generateRequests returns the requests of a load in the order of their arrival.
func generateRequests(config Sheet, load []Span, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	chains := make([]int, config.Things)
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

// outputTokens is the tokens of so many events. The first event comes with the first
// token, each other one s.Event tokens later.
func outputTokens(config Sheet, events float64) int { return max(int(events)-1, 0)*config.Event + 1 }

func newDocument(config Sheet, random *rand.Rand, begin kumquatlug.Millis, chains []int) *request {
	// A skew of 0.3 makes the first chains somewhat more frequent.
	chain := int(float64(len(chains)) * math.Pow(random.Float64(), 1/(1-0.3)))
	unique := max(int(lognormal(random, uniqueTokensMean, uniqueTokensCV, uniqueTokensMax)), 1)
	shared := int(rootTokens) + chains[chain]
	prompt := kumquatlug.NewPrompt([]kumquatlug.Part{
		kumquatlug.NewPart(fmt.Sprint("top", chain%rootCount), int(rootTokens)),
		kumquatlug.NewPart(fmt.Sprint("chain", chain), chains[chain]),
		kumquatlug.NewPart(fmt.Sprint("own", random.Uint64()), unique),
	}, shared+unique, 2*config.Event)
	relativeValue := min(fixedValueShare+(1-fixedValueShare)*float64(shared+unique)/(rootTokens+chainTokensMean+uniqueTokensMean), maxRelativeValue)
	return &request{
		arrivesAt: arrivalTime(random, begin), gateway: random.IntN(config.Fronts), prompt: prompt, uniqueTokens: unique, outputTokens: outputTokens(config, lognormal(random, documentEventsMean, documentEventsCV, documentEventsMax)),
		value: config.DocumentWorth * relativeValue, lateValue: config.DocumentLate * relativeValue, relativeValue: relativeValue, ttftTarget: config.DocumentAim, timeout: config.Deadline,
	}
}

func newStream(config Sheet, random *rand.Rand, begin kumquatlug.Millis) *request {
	events := max(lognormal(random, streamEventsMean, streamEventsCV, streamEventsMax), 1)
	relativeValue := min(fixedValueShare+(1-fixedValueShare)*events/streamEventsMean, maxRelativeValue)
	return &request{
		arrivesAt: arrivalTime(random, begin), gateway: random.IntN(config.Fronts), stream: true, uniqueTokens: streamUniqueTokens, outputTokens: outputTokens(config, events),
		prompt: kumquatlug.NewPrompt([]kumquatlug.Part{
			kumquatlug.NewPart(fmt.Sprint("hello", random.IntN(20)), streamSharedTokens), kumquatlug.NewPart(fmt.Sprint("own", random.Uint64()), streamUniqueTokens),
		}, streamSharedTokens+streamUniqueTokens, 2*streamEventsTypical*config.Event),
		value: config.StreamWorth * relativeValue, lateValue: config.StreamLate * relativeValue, relativeValue: relativeValue, ttftTarget: config.StreamAim, timeout: config.StreamDeadline,
	}
}

// LargeBurst is a burst of the site with the most machines: for four seconds nearly
// four times the usual documents.
var LargeBurst = []Span{{1012, 52}, {1012, 52}, {3760, 60}, {3760, 60}, {1012, 52}}

// BogotaScale and BogotaTrouble are the arrivals of two standard days of Bogota,
// as the fronts' logs tell them; clients that came back are counted again.
var (
	BogotaScale = []Span{
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
	BogotaTrouble = []Span{
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
