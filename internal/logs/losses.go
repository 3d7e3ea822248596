package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is the reason for which a request was not answered in time.
type Cause string

// Causes that are derived from the steps of a request. The other causes are composed
// of the outcome and the reason in a line, as in "refused: overload".
const (
	CauseQueued      Cause = "late: waited for an engine"
	CausePrefill     Cause = "late: prompt was read"
	CauseFirstOutput Cause = "late: first output"
	CauseRetry       Cause = "late: tried again"
	CauseResponse    Cause = "late: worker's answer"
	CausePause       Cause = "late: paused"
)

// Prefixes of the other causes.
const (
	causeWorker  = "worker failed: "
	causeRefused = "refused: "
	causeAborted = "broken off: "
)

const (
	// minErrorStatus is the lowest HTTP status that counts as not served.
	minErrorStatus = 500
	// maxExamples is the number of request ids kept for each loss.
	maxExamples = 3
	// maxPausedWorkers is the number of workers reported whose streams paused too long.
	maxPausedWorkers = 10
	// barWidth is the width of the longest bar, in characters.
	barWidth = 40
)

// Loss counts the requests of one route that were answered late or not at all for one
// cause.
type Loss struct {
	route    string
	cause    Cause
	count    int
	examples []string
}

// Route returns the route's name.
func (l Loss) Route() string { return l.route }

// Cause returns the cause.
func (l Loss) Cause() Cause { return l.cause }

// Count returns the number of client attempts.
func (l Loss) Count() int { return l.count }

// Examples returns the request ids of the first ones.
func (l Loss) Examples() []string { return l.examples }

// secondStats counts the client attempts that ended within one second, by result.
type secondStats struct {
	at                      time.Time
	onTime, late, notServed int
}

// Losses are the client attempts that were answered late or not at all, according to the
// logs of all gateways. A request that was refused and sent again counts as two attempts.
type Losses struct {
	byRouteAndCause map[lossKey]*Loss
	bySecond        map[int64]*secondStats
	onTime          map[string]int
	// pausesByWorker counts the streams that paused too long.
	pausesByWorker map[string]*workerPauses
	// accounts has the counts by account, denied the number of denied requests by reason.
	accounts map[string]*accountStats
	denied   map[string]int
	unparsed int
}

// workerPauses counts the streams of one worker that paused too long. tokens and requests
// are the sums over these streams of the tokens to prefill and the requests that the worker
// processed at the same time.
type workerPauses struct {
	worker           string
	count            int
	tokens, requests float64
	longest          float64
}

type lossKey struct {
	route string
	cause Cause
}

// ReadLosses reads the log lines of gateways and counts the losses. Lines without a brace
// are ignored; other lines that can't be parsed are counted.
func ReadLosses(input io.Reader) (*Losses, error) {
	l := &Losses{byRouteAndCause: map[lossKey]*Loss{}, bySecond: map[int64]*secondStats{}, onTime: map[string]int{}, pausesByWorker: map[string]*workerPauses{}, accounts: map[string]*accountStats{}, denied: map[string]int{}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		data := scanner.Bytes()
		if bytes.IndexByte(data, '{') < 0 {
			continue
		}
		line, err := parseLine(data)
		if err != nil {
			l.unparsed++
			continue
		}
		l.add(line)
	}
	return l, errors.Wrap(scanner.Err(), "read the logs")
}

// add counts the final line of an attempt; all other lines only describe how the attempt
// went.
func (l *Losses) add(line Line) {
	switch line.message {
	case "answered":
		l.addAnswered(line)
	case "refused":
		if line.numberField("status") < minErrorStatus && line.numberField("status") != 0 {
			// A denied request is not a loss.
			l.denied[line.stringField("reason")]++
			return
		}
		l.addNotServed(line, Cause(causeRefused+line.stringField("reason")))
	case "broken off":
		l.addNotServed(line, Cause(causeAborted+line.stringField("reason")))
	}
}

// addAnswered classifies a worker's response.
func (l *Losses) addAnswered(line Line) {
	status := int(line.numberField("status"))
	target := line.numberField("target_ms")
	switch {
	case status >= minErrorStatus:
		l.addNotServed(line, Cause(fmt.Sprint(causeWorker, status)))
	case target > 0 && line.numberField("first_ms") > target:
		l.addLate(line, lateCause(line))
	case line.stepField("pause_allowed") > 0 && line.stepField("longest_pause") > line.stepField("pause_allowed"):
		// The first output was in time, but the stream paused later.
		l.addPaused(line)
	default:
		l.secondFor(line).onTime++
		l.accountFor(line).onTime++
		l.onTime[line.stringField("route")]++
	}
}

// addPaused counts a stream that paused for longer than its route allows, and the other
// work of its worker.
func (l *Losses) addPaused(line Line) {
	l.addLate(line, CausePause)
	steps, _ := line.fields["steps"].(map[string]any)
	worker, _ := steps["paused_at"].(string)
	p, exists := l.pausesByWorker[worker]
	if !exists {
		p = &workerPauses{worker: worker}
		l.pausesByWorker[worker] = p
	}
	p.count++
	p.tokens += line.stepField("beside_tokens")
	p.requests += line.stepField("beside_requests")
	p.longest = max(p.longest, line.stepField("longest_pause"))
}

// lateCause returns the cause for the step that took most of the time of a late response.
func lateCause(line Line) Cause {
	if line.numberField("tries") > 1 {
		return CauseRetry
	}
	steps, _ := line.fields["steps"].(map[string]any)
	longest, cause := 0.0, CauseResponse
	for _, step := range []struct {
		name  string
		cause Cause
	}{{"queued", CauseQueued}, {"read", CausePrefill}, {"first", CauseFirstOutput}} {
		if duration, _ := steps[step.name].(float64); duration > longest {
			longest, cause = duration, step.cause
		}
	}
	return cause
}

func (l *Losses) addLate(line Line, c Cause) {
	l.secondFor(line).late++
	l.accountFor(line).late++
	l.addLoss(line, c)
}

func (l *Losses) addNotServed(line Line, c Cause) {
	l.secondFor(line).notServed++
	l.accountFor(line).notServed++
	l.addLoss(line, c)
}

func (l *Losses) addLoss(line Line, c Cause) {
	key := lossKey{route: line.stringField("route"), cause: c}
	loss, exists := l.byRouteAndCause[key]
	if !exists {
		loss = &Loss{route: key.route, cause: c}
		l.byRouteAndCause[key] = loss
	}
	loss.count++
	if len(loss.examples) < maxExamples {
		loss.examples = append(loss.examples, line.stringField("request"))
	}
}

func (l *Losses) secondFor(line Line) *secondStats {
	at := line.at.Truncate(time.Second)
	s, exists := l.bySecond[at.Unix()]
	if !exists {
		s = &secondStats{at: at}
		l.bySecond[at.Unix()] = s
	}
	return s
}

// stepField returns a number from the steps of a request, zero if it is missing.
func (l Line) stepField(name string) float64 {
	steps, _ := l.fields["steps"].(map[string]any)
	value, _ := steps[name].(float64)
	return value
}

// stringField returns a string field, empty if it is missing.
func (l Line) stringField(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// numberField returns a numeric field, zero if it is missing.
func (l Line) numberField(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// Sorted returns the losses by route, the most frequent cause first.
func (l *Losses) Sorted() []Loss {
	all := make([]Loss, 0, len(l.byRouteAndCause))
	for _, loss := range l.byRouteAndCause {
		all = append(all, *loss)
	}
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(b.count, a.count), cmp.Compare(a.cause, b.cause))
	})
	return all
}

// worstPauses returns the workers whose streams paused too long, those with the most pauses
// first.
func (l *Losses) worstPauses() []*workerPauses {
	all := make([]*workerPauses, 0, len(l.pausesByWorker))
	for _, p := range l.pausesByWorker {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *workerPauses) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.worker, b.worker))
	})
	return all[:min(len(all), maxPausedWorkers)]
}

// sortedSeconds returns the counts of all seconds in order of time.
func (l *Losses) sortedSeconds() []secondStats {
	all := make([]secondStats, 0, len(l.bySecond))
	for _, s := range l.bySecond {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b secondStats) int { return a.at.Compare(b.at) })
	return all
}

// Print writes the losses by route and cause, the workers with paused streams, the worst
// accounts, and a bar for each second: "=" for responses in time, "~" for late ones, "!"
// for requests that were not served.
func (l *Losses) Print(w io.Writer) error {
	var b strings.Builder
	route := ""
	for _, loss := range l.Sorted() {
		if loss.route != route {
			route = loss.route
			fmt.Fprintf(&b, "%s: %d in time\n", cmp.Or(route, "no route"), l.onTime[route])
		}
		fmt.Fprintf(&b, "  %6d  %-32s %s\n", loss.count, loss.cause, strings.Join(loss.examples, " "))
	}
	for _, p := range l.worstPauses() {
		count := float64(p.count)
		fmt.Fprintf(&b, "paused at %s: %d, longest %.0f ms, beside %.0f requests and %.0f tokens to read (means)\n",
			cmp.Or(p.worker, "an unknown worker"), p.count, p.longest, p.requests/count, p.tokens/count)
	}
	l.writeAccounts(&b)
	maxCount := 1
	for _, s := range l.bySecond {
		maxCount = max(maxCount, s.onTime+s.late+s.notServed)
	}
	for _, s := range l.sortedSeconds() {
		bar := func(symbol string, count int) string { return strings.Repeat(symbol, count*barWidth/maxCount) }
		fmt.Fprintf(&b, "%s  %5d %5d %5d  %s%s%s\n", s.at.UTC().Format("15:04:05"), s.onTime, s.late, s.notServed,
			bar("=", s.onTime), bar("~", s.late), bar("!", s.notServed))
	}
	if l.unparsed > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", l.unparsed)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the losses")
}
