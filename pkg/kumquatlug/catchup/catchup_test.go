package catchup

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// transfer simulates a gateway that has the text and whose responses are lost at lossRate. It
// returns the text that f assembles, and when.
func transfer(t *testing.T, f *Fetcher, gateway string, version int64, text []byte, lossRate float64) ([]byte, kumquatlug.Millis) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for now := kumquatlug.Millis(0); now < 20_000; now += 10 {
		f.RecordVersion(now, gateway, version)
		for {
			to, request, due := f.NextRequest(now)
			if !due {
				break
			}
			if to != gateway {
				t.Fatalf("request to %q", to)
			}
			for _, part := range PartsFor(request, version, text) {
				if random.Float64() < lossRate {
					continue
				}
				if got, complete := f.AddPart(gateway, part); complete {
					return got, now
				}
			}
		}
	}
	return nil, 0
}

// The store rejects a gateway, and half of the parts sent to it are lost. It must still get
// the complete text: with only a part of the keys, it would reject clients.
func TestConfigArrivesDespitePacketLoss(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	for _, lossRate := range []float64{0, 0.5} {
		f := &Fetcher{}
		f.SetCurrent(3)
		got, at := transfer(t, f, "front-2", 7, text, lossRate)
		if !bytes.Equal(got, text) || lossRate == 0 && at > 2*storeReadDelay {
			t.Errorf("lost %.1f: %d of %d bytes at %d ms", lossRate, len(got), len(text), at)
		}
	}
}

// The store delivers a version shortly after another gateway announced it. If gateways
// requested it nevertheless, each change would be sent again between all of them.
func TestVersionFromStoreIsNotRequested(t *testing.T) {
	f := &Fetcher{}
	f.SetCurrent(3)
	f.RecordVersion(0, "front-2", 7)
	if _, _, due := f.NextRequest(storeReadDelay - 1); due {
		t.Error("requested before the delay for the store was over")
	}
	f.SetCurrent(7)
	if _, _, due := f.NextRequest(10 * storeReadDelay); due {
		t.Error("requested the version in use")
	}
	f.RecordVersion(11*storeReadDelay, "front-3", 5)
	if _, _, due := f.NextRequest(13 * storeReadDelay); due {
		t.Error("requested an older version")
	}
}

// The gateway that announced a version fails before it sends the text, and another one is
// requested. Parts of an older version must not be mixed with those of a newer one.
func TestNextGatewayIsTriedAfterTimeouts(t *testing.T) {
	f := &Fetcher{}
	f.RecordVersion(0, "front-2", 7)
	requests := 0
	for now := storeReadDelay; now < storeReadDelay+1000; now += 10 {
		if _, _, due := f.NextRequest(now); due {
			requests++
		}
	}
	if requests != maxRequests {
		t.Fatalf("%d requests", requests)
	}
	f.RecordVersion(2000, "front-3", 7)
	if to, _, due := f.NextRequest(2000); !due || to != "front-3" {
		t.Fatalf("request to %q, due %v", to, due)
	}
	if _, complete := f.AddPart("front-2", kumquatlug.ConfigPart{Version: 7, Part: 0, Parts: 1, Text: []byte("x")}); complete {
		t.Error("accepted a part that was not requested")
	}
	f.RecordVersion(2100, "front-4", 8)
	for _, bad := range []kumquatlug.ConfigPart{
		{Version: 7, Part: 0, Parts: 1, Text: []byte("x")},
		{Version: 8, Part: 1, Parts: 1, Text: []byte("x")},
		{Version: 8, Part: -1, Parts: 1, Text: []byte("x")},
		{Version: 8, Part: 0, Parts: maxParts + 1, Text: []byte("x")},
		{Version: 8, Part: 0, Parts: 1},
	} {
		if _, complete := f.AddPart("front-4", bad); complete {
			t.Errorf("accepted %+v", bad)
		}
	}
}
