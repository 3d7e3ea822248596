package usage

import (
	"fmt"
	"maps"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// simulation models a store, a receiver of reports, gateways that count, and a lease
// that moves between them, on one clock.
type simulation struct {
	t             *testing.T
	now           kumquatlug.Millis
	rows          map[string]kumquatlug.Row
	version       int64
	received      map[Window]map[string]int64
	receivedOrder []Window
	violations    []string
	// storeDown and receiverDown have calls fail without effect; lostCommitResponses and
	// lostSendResponses are numbers of calls whose responses are lost after they took
	// effect.
	storeDown, receiverDown                bool
	lostCommitResponses, lostSendResponses int
	counters                               []*Counter
	partitioned                            []bool
	// restarts counts the restarts at the address of each gateway.
	restarts     []int
	reporters    []*Reporter
	leaseHolder  int
	fencingToken int64
	recorded     map[Window]map[string]int64
	// backups are copies of the store's rows by their time in seconds.
	backups map[kumquatlug.Millis]map[string]kumquatlug.Row
}

func newSimulation(t *testing.T, gateways int) *simulation {
	s := &simulation{t: t, now: 1_000_000, rows: map[string]kumquatlug.Row{}, received: map[Window]map[string]int64{}, recorded: map[Window]map[string]int64{}, backups: map[kumquatlug.Millis]map[string]kumquatlug.Row{}}
	for i := range gateways {
		s.counters = append(s.counters, NewCounter(testWindows))
		s.reporters = append(s.reporters, NewReporter(testWindows, fmt.Sprintf("front-%d", i)))
		s.partitioned, s.restarts = append(s.partitioned, false), append(s.restarts, 0)
	}
	s.moveLease(0)
	return s
}

// restore replaces the store's rows by a backup of the given age. No gateway holds the
// lease until moveLease is called.
func (s *simulation) restore(age kumquatlug.Millis) {
	if rows, copied := s.backups[(s.now-age)/1000]; copied {
		s.rows = maps.Clone(rows)
	}
	s.leaseHolder = -1
	for gateway, r := range s.reporters {
		rows, err := s.scan(gateway, ReportPrefix)
		if tx, needed := r.RestoreTx(s.now, rows); err == nil && needed {
			_ = s.commit(gateway, tx)
		}
	}
}

// moveLease gives the lease to a gateway; a negative one means none.
func (s *simulation) moveLease(gateway int) {
	s.leaseHolder = gateway
	s.fencingToken++
}

func (s *simulation) scan(gateway int, prefix string) ([]kumquatlug.Row, error) {
	if s.storeDown || s.partitioned[gateway] {
		return nil, kumquatlug.ErrUnavailable
	}
	var rows []kumquatlug.Row
	for key, row := range s.rows {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (s *simulation) commit(gateway int, tx kumquatlug.Tx) error {
	if s.storeDown || s.partitioned[gateway] {
		return kumquatlug.ErrUnavailable
	}
	for _, c := range tx.Conditions() {
		if s.rows[c.Key()].Version() != c.Version() {
			return kumquatlug.ErrConflict
		}
	}
	if tx.Entries() > kumquatlug.MaxTxEntries {
		s.violations = append(s.violations, "a transaction has too many entries")
	}
	s.version++
	for _, write := range tx.Writes() {
		if write.Deleted() {
			delete(s.rows, write.Key())
			continue
		}
		s.rows[write.Key()] = kumquatlug.NewRow(write.Key(), write.Value(), s.version)
	}
	if s.lostCommitResponses > 0 {
		s.lostCommitResponses--
		return kumquatlug.ErrLost
	}
	return nil
}

// receive models the service that receives reports.
func (s *simulation) receive(report Report) error {
	if s.receiverDown {
		return kumquatlug.ErrUnavailable
	}
	earlier, known := s.received[report.Window()]
	switch {
	case known && fmt.Sprint(earlier) != fmt.Sprint(map[string]int64(report.Counts())):
		s.violations = append(s.violations, fmt.Sprintf("window %d was reported twice, with %v and %v", report.Window(), earlier, report.Counts()))
	case !known:
		if len(s.receivedOrder) > 0 && report.Window() <= s.receivedOrder[len(s.receivedOrder)-1] {
			s.violations = append(s.violations, fmt.Sprintf("window %d was reported after windows %v", report.Window(), s.receivedOrder))
		}
		s.received[report.Window()] = map[string]int64(report.Counts())
		s.receivedOrder = append(s.receivedOrder, report.Window())
	}
	if s.lostSendResponses > 0 {
		s.lostSendResponses--
		return kumquatlug.ErrLost
	}
	return nil
}

// recordRequest counts a request at a gateway and in the expected counts.
func (s *simulation) recordRequest(gateway int, account string) {
	s.counters[gateway].Record(s.now, account)
	k := testWindows.At(s.now)
	if s.recorded[k] == nil {
		s.recorded[k] = map[string]int64{}
	}
	s.recorded[k][account]++
}

// stepGateway has one gateway store its tally and make its reporter's calls.
// fencingToken is that of the lease that the gateway assumes it holds.
func (s *simulation) stepGateway(gateway int, fencingToken int64) {
	if s.now%1250 == 0 {
		tally := s.counters[gateway].Tally(s.now, false)
		text, err := tally.Encode()
		if err != nil {
			s.t.Fatal(err)
		}
		if s.commit(gateway, kumquatlug.NewTx("t").Put(fmt.Sprintf("%s%d.%d", TallyPrefix, gateway, s.restarts[gateway]), text)) == nil {
			s.counters[gateway].Stored(tally)
		}
		if s.counters[gateway].ShouldCheckFinalized(s.now) && !s.storeDown && !s.partitioned[gateway] {
			next, err := DecodeNextWindow(s.rows[NextWindowKey])
			if err != nil {
				s.t.Fatal(err)
			}
			s.counters[gateway].DropFinalized(next)
		}
	}
	r := s.reporters[gateway]
	r.SetFencingToken(fencingToken)
	for range 8 {
		i := r.Next(s.now)
		switch i.Action() {
		case ActionNone:
			return
		case ActionScanReports:
			rows, err := s.scan(gateway, ReportPrefix)
			_ = r.ReportsScanned(s.now, rows, err)
		case ActionScanTallies:
			rows, err := s.scan(gateway, TallyPrefix)
			_ = r.TalliesScanned(s.now, rows, err)
		case ActionFinalize:
			r.Finalized(s.now, s.commit(gateway, i.Tx()))
		case ActionSend:
			r.Sent(s.now, i.Report(), s.receive(i.Report()))
		}
	}
}

// run advances the time, with a request every 50 ms at each running gateway.
func (s *simulation) run(duration kumquatlug.Millis, running func(gateway int) bool) {
	for end := s.now + duration; s.now < end; s.now += 50 {
		if s.now%1000 == 0 {
			s.backups[s.now/1000] = maps.Clone(s.rows)
		}
		for gateway := range s.counters {
			if !running(gateway) {
				continue
			}
			s.recordRequest(gateway, []string{"north", "south"}[(int(s.now/50)+gateway)%2])
			fencingToken := int64(0)
			if gateway == s.leaseHolder {
				fencingToken = s.fencingToken
			}
			s.stepGateway(gateway, fencingToken)
		}
	}
}

func allGateways(int) bool { return true }

// checkReports fails the test for windows that are due and were not reported, and for
// counts that are too high or too low by more than the tolerance, a fraction of the
// recorded count.
func (s *simulation) checkReports(t *testing.T, tolerance float64) {
	t.Helper()
	for _, violation := range s.violations {
		t.Error(violation)
	}
	for k, counts := range s.recorded {
		if testWindows.End(k)+testWindows.MaxReportDelay > s.now {
			continue
		}
		got, reported := s.received[k]
		if !reported {
			t.Errorf("window %d was not reported", k)
		}
		for account, n := range counts {
			if off := float64(n - got[account]); off > tolerance*float64(n) || off < 0 {
				t.Errorf("window %d: %d requests of %s were reported, want %d", k, got[account], account, n)
			}
		}
	}
}
