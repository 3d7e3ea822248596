package front

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func (h *handlerRecorder) Speeds() []kumquatlug.WorkerSpeed { return h.speeds }

func (h *handlerRecorder) SpeedsReceived(_ string, s []kumquatlug.WorkerSpeed) { h.speedsReceived <- s }

// Entries that get lost or changed on the way would give the lease holder wrong speeds. With a
// large message or long names the datagram must be sent without entries, because one that is
// too long is dropped by its receiver, and the message with it.
func TestSpeedsAreAttachedWhileThereIsRoom(t *testing.T) {
	entry := kumquatlug.WorkerSpeed{Service: "engines", Worker: "e1", RelativeTime: 2.25, Samples: 12, TimeFactor: 2.5, FactorAge: 140}
	long := entry
	long.Worker = strings.Repeat("w", 600)
	for name, c := range map[string]struct {
		entries []kumquatlug.WorkerSpeed
		config  int
		want    int
	}{
		"normal":        {[]kumquatlug.WorkerSpeed{entry, entry}, 0, 2},
		"large message": {[]kumquatlug.WorkerSpeed{entry}, 1200, 0},
		"long names":    {[]kumquatlug.WorkerSpeed{long, long, long}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sender := newTestGateway(t, "a", "127.0.0.1:0")
			sender.received.speeds = c.entries
			d := &frontv1.Datagram{}
			if c.config > 0 {
				d.ConfigPart = &frontv1.ConfigPart{Text: make([]byte, c.config)}
			}
			sender.attachSpeeds(d)
			if got := decodeSpeeds(d.GetSpeeds()); len(got) != c.want || c.want > 0 && !reflect.DeepEqual(got[0], entry) {
				t.Errorf("%v", got)
			}
		})
	}
}

// A gateway without prompts of its own sends no permits. Its samples must reach its peers
// nevertheless.
func TestSpeedsAreAnnouncedWithoutOtherMessages(t *testing.T) {
	a, b := newTestGateway(t, "a", "127.0.0.1:0"), newTestGateway(t, "b", "127.0.0.1:0")
	entry := kumquatlug.WorkerSpeed{Service: "engines", Worker: "e1", RelativeTime: 0.5, Samples: 3}
	a.received.speeds = []kumquatlug.WorkerSpeed{entry}
	a.addPeers(b)
	b.addPeers(a)
	a.AnnounceSpeeds()
	select {
	case got := <-b.received.speedsReceived:
		if !reflect.DeepEqual(got, []kumquatlug.WorkerSpeed{entry}) {
			t.Errorf("%v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no speeds received within 5 s")
	}
}

// Values that are no numbers must not reach the estimates, and a datagram with many entries must
// not take long.
func TestInvalidSpeedsAreDropped(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	entries := []*frontv1.WorkerSpeed{
		{Worker: "a", RelativeTime: nan}, {Worker: "b", RelativeTime: 1, TimeFactor: inf}, nil, {Worker: "d", RelativeTime: 1, Samples: math.MaxUint32, AgeMs: math.MaxUint32},
	}
	got := decodeSpeeds(entries)
	if len(got) != 2 || got[1].Worker != "d" || got[1].Samples != maxSpeedSamples || got[1].FactorAge < 0 {
		t.Errorf("%v", got)
	}
	if got := decodeSpeeds(make([]*frontv1.WorkerSpeed, 1000)); len(got) > maxReceivedSpeeds {
		t.Errorf("%d entries read", len(got))
	}
}
