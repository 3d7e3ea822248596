package gateway

// storeRestored reports that the store came back from an older copy since this front wrote
// its row.
func (g *Gateway) storeRestored(r registration) bool { return r.registered && g.c.Feed.Era() != r.era }

// rewriteTally has what this front keeps in the store beside its row written again: what
// was written since the copy is gone.
func (g *Gateway) rewriteTally() {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.changed = true
}
