package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// planPrefix is the prefix of the keys of plans; the name of the service follows.
const planPrefix = "plan/"

// rolePlan announces to all gateways which engines of a service are about to change
// their role. Without it, the other gateways keep sending new requests there, which are
// refused for three seconds, and a decode engine changes its role only when its last
// stream has ended, ten seconds later.
type rolePlan struct {
	// Roles are the new roles by engine.
	Roles map[string]kumquatlug.Role `json:"roles"`
	// Weights are the weights of engines as owners of prefixes, empty for equal ones.
	Weights map[string]float64 `json:"weights,omitempty"`
	// FencingToken is that of the lease under which the plan was made.
	FencingToken int64 `json:"fence,omitempty"`
}

// minOwnerWeight and maxOwnerWeight are far outside the weights that follow from speeds.
const minOwnerWeight, maxOwnerWeight = 1e-3, 1e3

// decodePlan decodes a plan. One that no leader has made, with roles that engines don't have or impossible weights, is an
// error.
func decodePlan(value []byte) (rolePlan, error) {
	var p rolePlan
	if err := json.Unmarshal(value, &p); err != nil {
		return rolePlan{}, errors.Wrap(err, "decode a plan")
	}
	for engine, role := range p.Roles {
		if role != kumquatlug.RolePrefill && role != kumquatlug.RoleDecode {
			return rolePlan{}, errors.Newf("decode a plan: role %.50q of engine %.50q", string(role), engine)
		}
	}
	for engine, weight := range p.Weights {
		if weight < minOwnerWeight || weight > maxOwnerWeight {
			return rolePlan{}, errors.Newf("decode a plan: weight %g of engine %.50q", weight, engine)
		}
	}
	return p, nil
}

// publishPlan writes a plan and applies its role changes to this gateway at once, so that
// streams move to other engines while the order is in transit. The weights apply once all
// gateways can read them. It reports whether the plan was written.
func (g *Gateway) publishPlan(ctx context.Context, service string, p rolePlan) bool {
	g.applyRoles(service, p.Roles)
	text, err := json.Marshal(p)
	if err != nil {
		g.c.Logger.Error("failed to publish plan", zap.String("service", service), logs.Error(err))
		return false
	}
	call, cancel := context.WithTimeout(ctx, planPublishTimeout.Duration())
	defer cancel()
	// The condition keeps a delayed write from replacing a later one, the fencing token a
	// former holder of the lease that does not know yet that it lost it.
	key := planPrefix + service
	current, err := g.c.Table.Get(call, key)
	if err == nil {
		if newer, err := decodePlan(current.Value()); err == nil && newer.FencingToken > p.FencingToken {
			g.c.Logger.Warn("plan of a former lease not published", zap.String("service", service),
				zap.Int64("fence", p.FencingToken), zap.Int64("current", newer.FencingToken))
			g.applyPlan(service, newer)
			return false
		}
		// If this fails, the other gateways notice the change when they are refused.
		err = g.c.Table.Commit(call, kumquatlug.NewTx(g.c.Incarnation).If(key, current.Version()).Put(key, text))
	}
	if err != nil {
		g.c.Logger.Warn("failed to publish plan", zap.String("service", service), logs.Error(err))
		return false
	}
	g.scheduler.setOwnerWeights(service, p.Weights)
	return true
}

// planPublishTimeout is how long publishing a plan may delay its orders.
const planPublishTimeout = 100 * kumquatlug.Millis(1)

// applyPlan sends no new requests to the engines of a plan and moves their streams to
// other engines.
func (g *Gateway) applyPlan(service string, p rolePlan) {
	g.scheduler.setOwnerWeights(service, p.Weights)
	g.applyRoles(service, p.Roles)
}

func (g *Gateway) applyRoles(service string, roles map[string]kumquatlug.Role) {
	moved, changed := g.scheduler.setRoleChanges(g.c.Clock.Now(), service, roles)
	if !changed {
		// The gateway that wrote the row also receives it from the change feed.
		return
	}
	g.c.Logger.Info("plan", zap.String("service", service), zap.Any("roles", roles), zap.Int("streams_moved", moved))
}

// watchPlans applies the plans that other gateways publish. The role changes of a plan that was
// in the table before this gateway read it are obsolete; its weights are in force.
func (g *Gateway) watchPlans(ctx context.Context) {
	w := &tableWatcher{g: g, table: g.c.PlanTable, pollWait: crashPollWait}
	w.watch(ctx, func(kumquatlug.Millis) {
		for _, row := range w.changed {
			g.applyPlanRow(row, w.fullRead)
		}
	})
}

// applyPlanRow applies a row of the plans. obsolete says that its role changes are.
func (g *Gateway) applyPlanRow(row kumquatlug.Row, obsolete bool) {
	if !row.Exists() {
		return
	}
	p, err := decodePlan(row.Value())
	if err != nil {
		g.c.Logger.Warn("invalid plan ignored", zap.String("key", row.Key()), zap.Int64("row", row.Version()), logs.Error(err))
		return
	}
	service := strings.TrimPrefix(row.Key(), planPrefix)
	if obsolete {
		g.scheduler.setOwnerWeights(service, p.Weights)
		return
	}
	g.applyPlan(service, p)
}
