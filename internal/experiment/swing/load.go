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
	arrives kumquatlug.Millis
	front   int
	stream  bool
	prompt  kumquatlug.Prompt
	// own is how many tokens of the prompt no other request shares, output how
	// many tokens it will generate.
	own, output int
	// worth is what it is worth in time, late what it is worth late, credit the former
	// beside the mean one of its kind.
	worth, late, credit float64
	aim, until          kumquatlug.Millis
	// again counts the times that the client came back.
	again int
	// firstAt is when its first output came, zero for never.
	firstAt kumquatlug.Millis
	done    bool
	// lost says that its client left before its end.
	lost bool
}

// Sizes of requests in tokens, as the users' sheets give them: means, coefficients
// of variation, and bounds.
const (
	ownMean, ownSpread, ownMost       = 2890.0, 1.0, 39_600.0
	topMean, topThings                = 2520.0, 4
	chainMean, chainSpread, chainMost = 3780.0, 0.7, 11_300.0
	answersMean, answersSpread        = 1.5, 1.4
	answersMost                       = 6.0
	streamPrompt, streamShared        = 141, 79
	eventsMean, eventsSpread          = 89.2, 0.84
	eventsMost                        = 211.0
	usualEvents                       = 89
	// baseCredit is the part of a request's worth that doesn't grow with its size,
	// mostCredit the multiple of its worth that a large one has at most.
	baseCredit, mostCredit = 0.3, 4.0
)

// lognormal draws with a mean, a coefficient of variation and a bound.
func lognormal(r *rand.Rand, mean, spread, most float64) float64 {
	variance := math.Log(1 + spread*spread)
	return min(math.Exp(math.Log(mean)-variance/2+math.Sqrt(variance)*r.NormFloat64()), most)
}

// draw returns the requests of a load in the order of their arrival.
func draw(s Sheet, load []Span, seed uint64) []*request {
	r := rand.New(rand.NewPCG(seed, 1))
	chains := make([]int, s.Things)
	for i := range chains {
		chains[i] = int(lognormal(r, chainMean, chainSpread, chainMost))
	}
	var all []*request
	for at, span := range load {
		begin := kumquatlug.Millis(at) * spanLength
		for range span.Documents {
			all = append(all, document(s, r, begin, chains))
		}
		for range span.Streams {
			all = append(all, stream(s, r, begin))
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrives < all[j].arrives })
	return all
}

func arrival(r *rand.Rand, begin kumquatlug.Millis) kumquatlug.Millis {
	return begin + kumquatlug.Millis(r.Int64N(int64(spanLength)))
}

// output is the tokens of so many events. The first event comes with the first
// token, each other one s.Event tokens later.
func output(s Sheet, events float64) int { return max(int(events)-1, 0)*s.Event + 1 }

func document(s Sheet, r *rand.Rand, begin kumquatlug.Millis, chains []int) *request {
	// A skew of 0.3 makes the first chains somewhat more frequent.
	thing := int(float64(len(chains)) * math.Pow(r.Float64(), 1/(1-0.3)))
	own := max(int(lognormal(r, ownMean, ownSpread, ownMost)), 1)
	shared := int(topMean) + chains[thing]
	prompt := kumquatlug.NewPrompt([]kumquatlug.Part{
		kumquatlug.NewPart(fmt.Sprint("top", thing%topThings), int(topMean)),
		kumquatlug.NewPart(fmt.Sprint("chain", thing), chains[thing]),
		kumquatlug.NewPart(fmt.Sprint("own", r.Uint64()), own),
	}, shared+own, 2*s.Event)
	credit := min(baseCredit+(1-baseCredit)*float64(shared+own)/(topMean+chainMean+ownMean), mostCredit)
	return &request{
		arrives: arrival(r, begin), front: r.IntN(s.Fronts), prompt: prompt, own: own, output: output(s, lognormal(r, answersMean, answersSpread, answersMost)),
		worth: s.DocumentWorth * credit, late: s.DocumentLate * credit, credit: credit, aim: s.DocumentAim, until: s.Deadline,
	}
}

func stream(s Sheet, r *rand.Rand, begin kumquatlug.Millis) *request {
	events := max(lognormal(r, eventsMean, eventsSpread, eventsMost), 1)
	credit := min(baseCredit+(1-baseCredit)*events/eventsMean, mostCredit)
	return &request{
		arrives: arrival(r, begin), front: r.IntN(s.Fronts), stream: true, own: streamPrompt, output: output(s, events),
		prompt: kumquatlug.NewPrompt([]kumquatlug.Part{
			kumquatlug.NewPart(fmt.Sprint("hello", r.IntN(20)), streamShared), kumquatlug.NewPart(fmt.Sprint("own", r.Uint64()), streamPrompt),
		}, streamShared+streamPrompt, 2*usualEvents*s.Event),
		worth: s.StreamWorth * credit, late: s.StreamLate * credit, credit: credit, aim: s.StreamAim, until: s.StreamDeadline,
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
