package main

import (
	"context"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/entry"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// entrySettings are the settings of an entry.
type entrySettings struct {
	nodeSettings
	listen, peerListen, operatorListen      string
	peerAddress                             string
	publicCert, publicKey                   string
	operatorKeys                            []string
	balancerLagMillis, vmListIntervalMillis int64
	maxBodyBytes, maxBufferedBytes          int64
	subsetSize                              int
	rolePlanner                             string
	roleChangeCost, sufficientShare         float64
}

func (s *entrySettings) bind(flags *pflag.FlagSet) {
	s.nodeSettings.bind(flags)
	flags.StringVar(&s.listen, "listen", "127.0.0.1:8080", "where callers reach this entry, IP:port")
	flags.StringVar(&s.peerListen, "peer-listen", "127.0.0.1:8082", "where other processes of ours reach it, IP:port")
	flags.StringVar(&s.peerAddress, "peer-address", "", "IP:port told to peers, when it is not --peer-listen")
	flags.StringVar(&s.operatorListen, "operator-listen", "127.0.0.1:8081", "where operators, probes and metrics reach it, IP:port")
	flags.StringVar(&s.publicCert, "public-cert", "", "certificate for callers and operators: PEM text or a file; empty means plain HTTP")
	flags.StringVar(&s.publicKey, "public-key", "", "the key of --public-cert: PEM text or a file")
	flags.StringSliceVar(&s.operatorKeys, "operator-keys", nil, "operators and their keys, name=key, separated by commas")
	flags.Int64Var(&s.balancerLagMillis, "balancer-lag-ms", int64(drain.EntryLag), "how long a stopping entry goes on accepting after /readyz says no")
	flags.Int64Var(&s.vmListIntervalMillis, "list-every-ms", 2000, "how often the list of VMs is read")
	flags.Int64Var(&s.maxBodyBytes, "max-body-bytes", caller.DefaultMaxBody, "largest request body")
	flags.Int64Var(&s.maxBufferedBytes, "max-held-bytes", caller.DefaultMaxHeld, "bodies of all requests in hand together; memory takes three times that")
	flags.IntVar(&s.subsetSize, "subset", routing.DefaultSubset, "how many engines of a kind this entry speaks to")
	flags.StringVar(&s.rolePlanner, "role-planner", plannerGoodput, "how roles of engines change: goodput, threshold or static")
	flags.Float64Var(&s.roleChangeCost, "role-price", 1, "price of a role change, as a multiple of the work that the engine would have done")
	flags.Float64Var(&s.sufficientShare, "role-enough", 1, "part of the best split's goodput beyond which roles stay, 0.5 to 1")
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
		c.Add("public-cert", "both --public-cert and --public-key, or neither", "one of the two is missing")
	}
	c.Between("balancer-lag-ms", "milliseconds", s.balancerLagMillis, 0, 10*int64(kumquatlug.Minute))
	c.Between("list-every-ms", "milliseconds", s.vmListIntervalMillis, 100, int64(kumquatlug.Minute))
	c.Between("max-body-bytes", "bytes", s.maxBodyBytes, 1<<10, 1<<30)
	c.Between("max-held-bytes", "bytes, at least --max-body-bytes", s.maxBufferedBytes, s.maxBodyBytes, 1<<34)
	c.Between("subset", "targets", int64(s.subsetSize), 1, 10_000)
	c.OneOf("role-planner", s.rolePlanner, plannerGoodput, plannerThreshold, plannerStatic)
	if s.roleChangeCost < 0 || s.roleChangeCost > maxCostFactor {
		c.Add("role-price", "a multiple, 0 to 1000", "is out of range")
	}
	if s.sufficientShare < minSufficientShare || s.sufficientShare > 1 {
		c.Add("role-enough", "a part, 0.5 to 1", "is out of range")
	}
	if _, err := s.operatorKeyHashes(); err != nil {
		c.Add("operator-keys", "name=key, the key of 16 bytes or more, at least one", err.Error())
	}
	return c.Problems()
}

// The planners that an entry may run, and the bounds of their settings.
const (
	plannerGoodput     = "goodput"
	plannerThreshold   = "threshold"
	plannerStatic      = "static"
	maxCostFactor      = 1000
	minSufficientShare = 0.5
)

func (s *entrySettings) newPlanner() kumquatlug.RolePlanner {
	switch s.rolePlanner {
	case plannerThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{})
	case plannerStatic:
		return planner.Static{}
	default:
		return planner.New(planner.Config{Price: s.roleChangeCost, Enough: s.sufficientShare})
	}
}

// minOperatorKeyBytes is the shortest operator's key that is accepted, in bytes.
const minOperatorKeyBytes = 16

// operatorKeyHashes maps the hash of each operator's key to the operator's name.
func (s *entrySettings) operatorKeyHashes() (map[string]string, error) {
	hashes := map[string]string{}
	for _, pair := range s.operatorKeys {
		name, key, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return nil, errors.New("an operator is not given as name=key")
		}
		if len(key) < minOperatorKeyBytes {
			return nil, errors.Newf("the key of %q is too short", name)
		}
		hashes[kumquatlug.HashKey(key)] = name
	}
	if len(hashes) == 0 {
		return nil, errors.New("no operator is named")
	}
	return hashes, nil
}

func newEntryCommand() *cobra.Command {
	return newProcessCommand(&cobra.Command{
		Use:   "entry",
		Short: "Run an entry: callers' and operators' APIs, admission, routing",
		Example: `  kumquatlug entry --name e1 --zone a --platform 10.0.0.9:7000 \
    --listen 10.0.0.1:8080 --peer-listen 10.0.0.1:8082 --operator-listen 10.0.0.1:8081 \
    --tls-cert entry.pem --tls-key entry.key --tls-ca ca.pem --operator-keys ana=$ANA_KEY`,
	}, &entrySettings{})
}

func (s *entrySettings) run(ctx context.Context) error {
	n, err := s.newNode()
	if err != nil {
		return err
	}
	c, err := s.config(ctx, n)
	if err != nil {
		return err
	}
	e, err := entry.New(c)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

func (s *entrySettings) config(ctx context.Context, n *node) (entry.Config, error) {
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
	store := s.newStore(n.clock)
	return entry.Config{
		Name: s.name, Zone: s.zone, Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
		PeerAddress: s.peerAddress, Keys: n.keys, CallerTLS: public, OperatorKeys: hashes,
		Table: store, Objects: store, VMs: membership.NewRoster(store), Clock: n.clock,
		ListEvery: kumquatlug.Millis(s.vmListIntervalMillis), BalancerLag: kumquatlug.Millis(s.balancerLagMillis), MaxBody: s.maxBodyBytes, MaxHeld: s.maxBufferedBytes,
		Planner:  s.newPlanner,
		Dispatch: dispatch.Config{Seed: s.randomSeed(), Subset: s.subsetSize},
		Logger:   n.logger, Registry: n.registry, Ring: n.ring,
	}, nil
}
