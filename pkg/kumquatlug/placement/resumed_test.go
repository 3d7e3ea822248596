package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// resumeCounts are the prompts of one kind that arrived and that were prefilled.
type resumeCounts struct{ arrived, prefilled int }

func (c resumeCounts) share() float64 { return float64(c.prefilled) / float64(c.arrived) }

// runResumes replays prompts of new and of resumed streams, one in four, at one prefill engine.
// The prompts of resumed streams include 300 tokens of output, and their clients have waited for 0.8 s.
func runResumes(perSecond float64, span kumquatlug.Millis) (begun, resumed resumeCounts) {
	const outputTokens, tokensPerMs, target, timeout, waited = 300, 236, 200, 2000, 800
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	for i := range 50 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	type job struct {
		counts  *resumeCounts
		attempt *Attempt
		tokens  float64
	}
	jobs := map[uint64]*job{}
	var queue []*job
	random := rand.New(rand.NewPCG(7, 9))
	freeAt, nextAt, key := 0.0, 0.0, uint64(0)
	start := func(now kumquatlug.Millis, j *job, attempt *Attempt) {
		j.attempt = attempt
		if queue = append(queue, j); len(queue) == 1 {
			freeAt = float64(now) + j.tokens/tokensPerMs
		}
	}
	for now := kumquatlug.Millis(0); now < span; now++ {
		for len(queue) > 0 && freeAt <= float64(now) {
			p.End(now, queue[0].attempt, OutcomeServed)
			queue[0].counts.prefilled++
			if queue = queue[1:]; len(queue) > 0 {
				freeAt += queue[0].tokens / tokensPerMs
			}
		}
		for ; float64(now) >= nextAt; nextAt += random.ExpFloat64() * 1000 / perSecond {
			key++
			own := min(int(2000*math.Exp(random.NormFloat64())), 30_000)
			q := Query{FirstOutputDue: now + target, Deadline: now + timeout}
			j := &job{counts: &begun}
			if key%4 == 0 {
				own += outputTokens
				q.Deadline, j.counts = now+timeout-waited, &resumed
				q.FirstOutputDue = ResumedOutputDue(now, q.Deadline, target)
			}
			shared := document(int(key)%40, int(key)).Shared()
			q.Prompt = kumquatlug.NewPrompt(append(slices.Clone(shared), kumquatlug.NewPart("own", own)), 6300+own, 104)
			j.tokens = float64(own)
			jobs[key] = j
			j.counts.arrived++
			if result, _, attempt := p.Submit(now, key, q); result == SubmissionSent {
				start(now, j, attempt)
			}
		}
		for _, d := range p.Due(now) {
			if d.Attempt() != nil {
				start(now, jobs[d.Key()], d.Attempt())
			}
		}
	}
	return begun, resumed
}

// Prompts arrive at 0.9, 1.3 and 2.1 times the prefill rate. Guards against a queue that takes streams that clients take up for
// late ones, since their first event was due long ago, and refuses them while new ones begin.
func TestResumedPromptsArePrefilledAsOftenAsNewOnes(t *testing.T) {
	for _, rate := range []float64{60, 90, 150} {
		begun, resumed := runResumes(rate, 10_000)
		t.Logf("%v per s: new %.2f of %d, resumed %.2f of %d", rate, begun.share(), begun.arrived, resumed.share(), resumed.arrived)
		if resumed.share() < 0.95*begun.share() {
			t.Errorf("%v per s: %.2f of resumed prompts are prefilled, %.2f of new ones", rate, resumed.share(), begun.share())
		}
	}
}
