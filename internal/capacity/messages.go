package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// messageBenchmark is a message whose size grows with a count.
type messageBenchmark struct {
	costName      string
	countedObject string
	// sizes are the two counts to measure.
	sizes [2]int
	build func(n int) (any, error)
}

// measureMessages measures how the encoded size of messages grows, without framing and
// TLS.
func measureMessages(_ context.Context, c Config) ([]Slope, error) {
	sizes := [2]int{c.scaledSize(100, 2), c.scaledSize(1100, 7)}
	benchmarks := []messageBenchmark{
		{"report or heartbeat: notices of a crash", "fingerprint", [2]int{1, 41}, buildCrashReport},
		{"report: cache events", "event", sizes, buildCacheReport},
		{"whole config from a peer: rows of labels", "row", sizes, buildLabelRows},
		{"snapshot of the config: rows of labels", "row", sizes, buildSnapshot},
		{"status of the fleet", "node", sizes, buildStatus},
		{"time line", "event", sizes, buildEvents},
		{"platform's list, JSON", "VM", sizes, buildVMList},
	}
	slopes := make([]Slope, 0, len(benchmarks))
	for _, m := range benchmarks {
		s, err := m.measure()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func (m messageBenchmark) measure() (Slope, error) {
	points := make([]Point, 0, len(m.sizes))
	for _, n := range m.sizes {
		body, err := m.build(n)
		if err != nil {
			return Slope{}, err
		}
		text, err := encodeMessage(body)
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(n, float64(len(text))))
	}
	return NewSlope(m.costName, m.countedObject, UnitBytes, points...)
}

func encodeMessage(body any) ([]byte, error) {
	if m, ok := body.(proto.Message); ok {
		text, err := proto.Marshal(m)
		return text, errors.Wrap(err, "encode a message")
	}
	text, err := json.Marshal(body)
	return text, errors.Wrap(err, "encode a message")
}

// newFingerprint returns the fingerprint of the i-th request.
func newFingerprint(i int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("account", kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft"), fmt.Append(nil, i))
}

// buildCrashReport returns a report of one crash with n calls in flight.
func buildCrashReport(n int) (any, error) {
	register := quarantine.New(quarantine.Config{MaxRecords: n + 1})
	calls := make([]quarantine.InFlightCall, n)
	for i := range calls {
		calls[i] = quarantine.InFlightCall{Fingerprint: newFingerprint(i), Starting: i%2 == 0}
	}
	register.Crashed(1000, quarantine.NewCrash("drafting-01234", ulid.Make().String()+"/1"), calls)
	notices, _ := register.NoticesSince(2000, 0)
	return &peerv1.ReportResponse{Notices: peer.EncodeNotices(notices)}, nil
}

func buildCacheReport(n int) (any, error) {
	report := &peerv1.ReportResponse{}
	for i := range n {
		report.Cache = append(report.Cache, &peerv1.CacheEvent{Sequence: int64(1_000_000 + i), Prefix: string(newFingerprint(i))[:16]})
	}
	return report, nil
}

func newInFlightCalls(i int) []quarantine.InFlightCall {
	return []quarantine.InFlightCall{{Fingerprint: newFingerprint(i), Starting: true}}
}

func buildLabelRows(n int) (any, error) {
	sets, err := newTargetSets(n)
	return &peerv1.PullResponse{Revision: 1_402_113, Whole: true, Sets: peer.EncodeSets(sets)}, err
}

func buildSnapshot(n int) (any, error) {
	sets, err := newTargetSets(n)
	if err != nil {
		return nil, err
	}
	text, err := config.NewState(1, sets).Encode()
	return json.RawMessage(text), err
}

func buildStatus(n int) (any, error) {
	response := &peerv1.StatusResponse{}
	for i := range n {
		response.Nodes = append(response.Nodes, &peerv1.NodeStatus{
			Name: targetName(i), Role: "target", Zone: zone, Address: "10.120.30.40:8090", State: "serving", Revision: 1_402_113,
			Labels: "name=" + targetName(i) + ",pool=drafting,zone=" + zone, Running: 41, HeartbeatAgeMs: 640, TargetRole: "both",
		})
	}
	return response, nil
}

func buildEvents(n int) (any, error) {
	response := &peerv1.EventsResponse{}
	for i := range n {
		response.Events = append(response.Events, &peerv1.Event{
			Node: "entry-0123", Sequence: int64(1_000_000 + i), WallMs: time.Now().UnixMilli(), Name: "sent", RequestId: ulid.Make().String(),
			Peer: targetName(i), Detail: "attempt 1", Logical: int64(81_231_233 + i),
		})
	}
	return response, nil
}

// vmListItem is one VM in the platform's list, as its client decodes it.
type vmListItem struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

func buildVMList(n int) (any, error) {
	list := make([]vmListItem, n)
	for i := range list {
		list[i] = vmListItem{targetName(i), "target", "10.120.30.40:8090", zone, "live"}
	}
	return list, nil
}

// targetName returns the name of the i-th target. All names have the same length.
func targetName(i int) string { return fmt.Sprintf("drafting-%05d", i) }
