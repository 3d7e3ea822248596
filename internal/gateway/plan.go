package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// planPrefix starts the keys of plans; the service's name follows.
const planPrefix = "plan/"

// rolePlan tells all fronts which engines of a service are about to change their
// role. Without it the others go on sending there, where everything new is
// refused for three seconds, and a generating engine changes only when its last
// stream has ended, ten seconds later.
type rolePlan struct {
	// Roles are the roles to come, by engine.
	Roles map[string]kumquatlug.Role `json:"roles"`
}

// publishPlan writes a plan, and follows it here at once. The streams that go
// elsewhere for it do so while the order is on its way. It reports whether the
// plan was written.
func (g *Gateway) publishPlan(ctx context.Context, service string, p rolePlan) bool {
	g.applyPlan(service, p)
	text, err := json.Marshal(p)
	if err != nil {
		g.c.Logger.Error("plan not told", zap.String("service", service), logs.Error(err))
		return false
	}
	call, cancel := context.WithTimeout(ctx, planPublishTimeout.Duration())
	defer cancel()
	// Not told, the others find out by refusals.
	if err := g.c.Table.Commit(call, kumquatlug.NewTx(g.c.Incarnation).Put(planPrefix+service, text)); err != nil {
		g.c.Logger.Warn("plan not told", zap.String("service", service), logs.Error(err))
		return false
	}
	return true
}

// planPublishTimeout is how long the telling of a plan may hold its orders up.
const planPublishTimeout = 100 * kumquatlug.Millis(1)

// applyPlan gives the engines of a plan nothing new and moves streams away.
func (g *Gateway) applyPlan(service string, p rolePlan) {
	moved, changed := g.scheduler.setRoleChanges(g.c.Clock.Now(), service, p.Roles)
	if !changed {
		// The front that wrote the row meets it again in its feed.
		return
	}
	g.c.Logger.Info("plan", zap.String("service", service), zap.Any("roles", p.Roles), zap.Int("streams_moved", moved))
}

// watchPlans obeys the plans that another front tells. One that was there
// before this front looked is over.
func (g *Gateway) watchPlans(ctx context.Context) {
	f := &tableWatcher{g: g, table: g.c.PlanTable, pollWait: crashPollWait}
	f.watch(ctx, func(kumquatlug.Millis) {
		if f.fullRead {
			return
		}
		for _, row := range f.changed {
			var p rolePlan
			if err := json.Unmarshal(row.Value(), &p); err != nil {
				if row.Exists() {
					g.c.Logger.Warn("plan can't be read", zap.Int64("row", row.Version()), logs.Error(err))
				}
				continue
			}
			g.applyPlan(strings.TrimPrefix(row.Key(), planPrefix), p)
		}
	})
}
