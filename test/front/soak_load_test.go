package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Parameters of the load of a run.
const (
	// soakLoadStream selects the random stream of the load, so that the rest of the plan doesn't depend on it.
	soakLoadStream = 65
	// soakEngineStreams is the number of streams that an engine takes at once.
	soakEngineStreams = 32
	// soakFirstLoadClient is the number of the first client of the load; the others have lower ones.
	soakFirstLoadClient = 1000
)

// soakLoads are the numbers of streams that further clients keep running, as shares of what the engines take at once.
var soakLoads = []float64{0, 0.5, 1, 1.5}

// soakLoad is the load beside the clients of a run.
type soakLoad struct {
	share   float64
	clients int
	// processors is GOMAXPROCS of the gateways, 0 for all.
	processors int
}

// loadDraw returns the load of a run with this seed.
type loadDraw func(seed uint64, c site.Config) soakLoad

func noLoad(uint64, site.Config) soakLoad { return soakLoad{} }

// drawLoad draws the load of a run, unless the environment names its share.
func drawLoad(seed uint64, c site.Config) soakLoad {
	random := rand.New(rand.NewPCG(seed, soakLoadStream))
	l := soakLoad{share: soakLoads[random.IntN(len(soakLoads))], processors: random.IntN(2)}
	if share, err := strconv.ParseFloat(os.Getenv("KUMQUATLUG_SOAK_LOAD"), 64); err == nil {
		l.share = share
	}
	l.clients = int(l.share * float64(c.DecodeEngines*soakEngineStreams))
	return l
}

// Guards against promises of TestSoakUnplannedFaults that hold at rest only: engines that are half full, full or overloaded, and
// gateways with one processor.
func TestSoakUnplannedUnderLoad(t *testing.T) { soakSeeds(t, false, drawLoad, 3) }

// Guards against promises of TestSoakPlannedChanges that hold at rest only.
func TestSoakPlannedUnderLoad(t *testing.T) { soakSeeds(t, true, drawLoad, 3) }

func (l soakLoad) String() string {
	return fmt.Sprintf("%.1f of what the engines take (%d clients), GOMAXPROCS %d (0: all)", l.share, l.clients, l.processors)
}

// runLoad runs the clients of the load, half of which send streams that may resume.
func (k *soak) runLoad(ctx context.Context, clients *sync.WaitGroup) {
	for i := range k.load.clients {
		n := soakFirstLoadClient + i
		clients.Go(func() { k.runClient(ctx, n, soakKinds[i%2], rand.New(rand.NewPCG(k.seed, uint64(n+1)))) })
	}
}
