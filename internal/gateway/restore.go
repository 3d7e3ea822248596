package gateway

// restored reports that the store came back from an older copy since this front wrote
// its row.
func (g *Gateway) restored(r registration) bool { return r.good && g.c.Feed.Era() != r.era }

// tellAgain has what this front keeps in the store beside its row written again: what
// was written since the copy is gone.
func (g *Gateway) tellAgain() {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.changed = true
}
