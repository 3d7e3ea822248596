package gateway

// storeRestored reports whether the store was restored from an older copy since this
// gateway wrote its row.
func (g *Gateway) storeRestored(r registration) bool {
	return r.written && g.c.ChangeFeed.Era() != r.era
}

// rewriteTally causes the usage tally to be written again, because a restored store
// lacks what was written after the copy was made.
func (g *Gateway) rewriteTally() {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.changed = true
}
