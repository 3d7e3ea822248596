package main

import (
	"context"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/entry"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// entrySettings are the settings of the entry command, which runs a gateway.
type entrySettings struct {
	nodeSettings
	listen, peerListen, operatorListen string
	peerAddress                        string
	publicCert, publicKey              string
	operatorKeys                       []string
	balancerLagMs, vmListIntervalMs    int64
	maxBodyBytes, maxBufferedBytes     int64
	subsetSize                         int
	rolePlanner                        string
	roleChangeCost, sufficientShare    float64
}

func (s *entrySettings) bind(flags *pflag.FlagSet) {
	s.nodeSettings.bind(flags)
	flags.StringVar(&s.listen, "listen", "127.0.0.1:8080", "IP:port of the callers' API")
	flags.StringVar(&s.peerListen, "peer-listen", "127.0.0.1:8082", "IP:port for other gateways and agents")
	flags.StringVar(&s.peerAddress, "peer-address", "", "IP:port announced to peers; empty for --peer-listen")
	flags.StringVar(&s.operatorListen, "operator-listen", "127.0.0.1:8081", "IP:port of the operators' API, health checks and metrics")
	flags.StringVar(&s.publicCert, "public-cert", "", "certificate of the callers' and operators' APIs: PEM text or a file; empty means plain HTTP")
	flags.StringVar(&s.publicKey, "public-key", "", "private key of --public-cert: PEM text or a file")
	flags.StringSliceVar(&s.operatorKeys, "operator-keys", nil, "operators and their keys as name=key, comma-separated")
	flags.Int64Var(&s.balancerLagMs, "balancer-lag-ms", int64(drain.GatewayRefuseDelay), "how long a stopping gateway accepts requests after /readyz starts to fail, in milliseconds")
	flags.Int64Var(&s.vmListIntervalMs, "list-every-ms", 2000, "interval between reads of the list of VMs, in milliseconds")
	flags.Int64Var(&s.maxBodyBytes, "max-body-bytes", caller.DefaultMaxBodyBytes, "maximum size of a request body")
	flags.Int64Var(&s.maxBufferedBytes, "max-held-bytes", caller.DefaultMaxTotalBodyBytes, "maximum total size of the bodies of requests in flight; they use three times that much memory")
	flags.IntVar(&s.subsetSize, "subset", routing.DefaultSubsetSize, "maximum number of engines of a kind that this gateway connects to")
	flags.StringVar(&s.rolePlanner, "role-planner", plannerGoodput, "planner of the engines' roles: goodput, threshold or static")
	flags.Float64Var(&s.roleChangeCost, "role-price", 1, "cost of a role change, as a multiple of the work the engine could do meanwhile")
	flags.Float64Var(&s.sufficientShare, "role-enough", 1, "share of the best split's goodput above which roles are not changed, 0.5 to 1")
}

func (s *entrySettings) check(problems settings.Problems) settings.Problems {
	c := settings.NewChecker(problems)
	s.nodeSettings.check(c, map[string]string{"peer-listen": s.peerListen})
	c.Address("listen", s.listen)
	c.Address("operator-listen", s.operatorListen)
	if s.peerAddress != "" {
		c.Address("peer-address", s.peerAddress)
	}
	if (s.publicCert == "") != (s.publicKey == "") {
		c.Add("public-cert", "both --public-cert and --public-key, or neither", "one of them is missing")
	}
	c.Between("balancer-lag-ms", "milliseconds", s.balancerLagMs, 0, 10*int64(kumquatlug.Minute))
	c.Between("list-every-ms", "milliseconds", s.vmListIntervalMs, 100, int64(kumquatlug.Minute))
	c.Between("max-body-bytes", "bytes", s.maxBodyBytes, 1<<10, 1<<30)
	c.Between("max-held-bytes", "bytes, at least --max-body-bytes", s.maxBufferedBytes, s.maxBodyBytes, 1<<34)
	c.Between("subset", "targets", int64(s.subsetSize), 1, 10_000)
	c.OneOf("role-planner", s.rolePlanner, plannerGoodput, plannerThreshold, plannerStatic)
	if s.roleChangeCost < 0 || s.roleChangeCost > maxCost {
		c.Add("role-price", "a multiple, 0 to 1000", "is out of range")
	}
	if s.sufficientShare < minSufficientShare || s.sufficientShare > 1 {
		c.Add("role-enough", "a share, 0.5 to 1", "is out of range")
	}
	if _, err := s.operatorKeyHashes(); err != nil {
		c.Add("operator-keys", "name=key, the key of 16 bytes or more, at least one", err.Error())
	}
	return c.Problems()
}

// Role planners of a gateway, and the limits of their settings. maxCost also
// limits --zone-price, which is in milliseconds.
const (
	plannerGoodput     = "goodput"
	plannerThreshold   = "threshold"
	plannerStatic      = "static"
	maxCost            = 1000
	minSufficientShare = 0.5
)

func (s *entrySettings) newPlanner() kumquatlug.RolePlanner {
	switch s.rolePlanner {
	case plannerThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{})
	case plannerStatic:
		return planner.Static{}
	default:
		return planner.New(planner.Config{ChangeCost: s.roleChangeCost, SufficientShare: s.sufficientShare})
	}
}

// minOperatorKeyBytes is the minimum length of an operator's key.
const minOperatorKeyBytes = 16

// operatorKeyHashes returns the operators' names by the hashes of their keys.
func (s *entrySettings) operatorKeyHashes() (map[string]string, error) {
	hashes := map[string]string{}
	for _, pair := range s.operatorKeys {
		name, key, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return nil, errors.New("an operator is not in the form name=key")
		}
		if len(key) < minOperatorKeyBytes {
			return nil, errors.Newf("the key of %q is shorter than the minimum", name)
		}
		hashes[kumquatlug.HashKey(key)] = name
	}
	if len(hashes) == 0 {
		return nil, errors.New("no operators given")
	}
	return hashes, nil
}

func newEntryCommand(receiver *signals.Receiver) *cobra.Command {
	return newProcessCommand(receiver, &cobra.Command{
		Use:   "entry",
		Short: "Run a gateway: callers' and operators' APIs, admission, routing",
		Example: `  kumquatlug entry --name e1 --zone a --platform 10.0.0.9:7000 \
    --listen 10.0.0.1:8080 --peer-listen 10.0.0.1:8082 --operator-listen 10.0.0.1:8081 \
    --tls-cert entry.pem --tls-key entry.key --tls-ca ca.pem --operator-keys ana=$ANA_KEY`,
	}, &entrySettings{})
}

func (s *entrySettings) run(ctx context.Context, hangups <-chan os.Signal) error {
	node, err := s.newNode()
	if err != nil {
		return err
	}
	running, exit := context.WithCancel(context.WithoutCancel(ctx))
	defer exit()
	go node.logHangups(running, hangups)
	c, err := s.config(ctx, node)
	if err != nil {
		return err
	}
	gateway, err := entry.New(c)
	if err != nil {
		return err
	}
	return gateway.Run(ctx)
}

func (s *entrySettings) config(ctx context.Context, node *nodeDeps) (entry.Config, error) {
	hashes, err := s.operatorKeyHashes()
	if err != nil {
		return entry.Config{}, err
	}
	var public *peer.PublicKeys
	if s.publicCert != "" {
		if public, err = peer.LoadPublicKeys(s.publicCert, s.publicKey); err != nil {
			return entry.Config{}, err
		}
	}
	var listeners [3]net.Listener
	for i, address := range []string{s.listen, s.peerListen, s.operatorListen} {
		if listeners[i], err = listen(ctx, address); err != nil {
			return entry.Config{}, err
		}
	}
	store := s.newStore(node.clock)
	return entry.Config{
		Name: s.name, Zone: s.zone, CallerListener: listeners[0], PeerListener: listeners[1], OperatorListener: listeners[2],
		PeerAddress: s.peerAddress, PeerKeys: node.keys, CallerTLS: public, OperatorKeys: hashes,
		Table: store, Objects: store, VMs: membership.NewRoster(store), Clock: node.clock,
		VMListInterval: kumquatlug.Millis(s.vmListIntervalMs), BalancerLag: kumquatlug.Millis(s.balancerLagMs), MaxBodyBytes: s.maxBodyBytes, MaxTotalBodyBytes: s.maxBufferedBytes,
		NewPlanner: s.newPlanner,
		Dispatch:   dispatch.Config{Seed: s.randomSeed(), SubsetSize: s.subsetSize},
		Logger:     node.logger, Registry: node.registry, Ring: node.ring,
	}, nil
}
