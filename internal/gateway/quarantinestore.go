package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Parameters of the rows of crash reports and of entries.
const (
	// crashReportPrefix is the prefix of the keys of the reports.
	crashReportPrefix = "crash/report/"
	// crashPublishInterval is how often what was seen and decided here is written.
	crashPublishInterval = 500 * kumquatlug.Millis(1)
	// maxCrashRowsPerCommit bounds the rows that one call adds, and those that it removes. The
	// store accepts a hundred in total.
	maxCrashRowsPerCommit = 50
	// maxCrashRows bounds the reports of this gateway; the oldest are removed.
	maxCrashRows = 400
	// maxReported bounds the identities in own reports that are remembered.
	maxReported = 8192
	// crashRowRetention is how long a report stays in the store.
	crashRowRetention = kumquatlug.Hour
	// entryWriteDelay and entryWriteSpread are when a gateway writes an entry that is missing in the
	// store, as after the store was restored from an older copy.
	entryWriteDelay            = 2 * kumquatlug.Second
	entryWriteSpread           = 1 * kumquatlug.Second
	entryWriteSpreadPerGateway = 5 * kumquatlug.Millis(1)
)

// quarantineRows is the state of the rows in the store.
type quarantineRows struct {
	// loaded is set once the rows have been read, or could not be.
	loaded bool
	// unsent are the reports to be sent to peers, unpublished those to be written.
	unsent, unpublished []kumquatlug.CrashReport
	// published are the keys of the reports that this gateway has written, the oldest first.
	published []publishedReport
	// reported are the identities in own reports.
	reported map[string]bool
	// stored are the revisions of the entries in the store, by key. unwritten are the entries to be
	// written, with the time at which that is due.
	stored    map[string]int64
	unwritten map[string]unwrittenEntry
	// seenAt is when a report of any gateway was first seen, by key.
	seenAt map[string]kumquatlug.Millis
}

type publishedReport struct {
	key string
	at  kumquatlug.Millis
}

type unwrittenEntry struct {
	entry kumquatlug.QuarantineEntry
	due   kumquatlug.Millis
}

func newQuarantineRows() quarantineRows {
	return quarantineRows{
		reported: map[string]bool{}, stored: map[string]int64{}, unwritten: map[string]unwrittenEntry{}, seenAt: map[string]kumquatlug.Millis{},
	}
}

func (c *crashes) reportRowKey(r kumquatlug.CrashReport) string {
	return fmt.Sprintf("%s%s/%d/%s", crashReportPrefix, r.Worker, r.StartedAt, c.g.c.Incarnation)
}

// addReport keeps a report of this gateway. The caller must hold c.mu.
func (c *crashes) addReport(r kumquatlug.CrashReport) {
	c.unsent = append(c.unsent, r)
	if len(c.unpublished) < maxCrashRows {
		c.unpublished = append(c.unpublished, r)
	}
	if len(c.reported) > maxReported {
		clear(c.reported)
	}
	for _, s := range r.Suspects {
		c.reported[r.Service+"\x00"+s.Identity] = true
	}
}

// recordChange keeps a changed entry until it is in the store. The caller must hold c.mu.
func (c *crashes) recordChange(now kumquatlug.Millis, e quarantine.EvidenceEvent) {
	q := e.Entry()
	key := quarantine.EntryKey(q)
	if c.stored[key] >= q.Revision {
		return
	}
	due := now
	if !e.Own() || !c.announces(q) {
		due += c.entryWriteWait()
	}
	c.unwritten[key] = unwrittenEntry{entry: q, due: due}
}

// entryWriteWait returns how long to wait for another gateway to write an entry.
func (c *crashes) entryWriteWait() kumquatlug.Millis {
	spread := entryWriteSpread + entryWriteSpreadPerGateway*kumquatlug.Millis(len(c.names))
	return entryWriteDelay + kumquatlug.Millis(rand.Int64N(int64(spread)))
}

// publishCrashes writes the crashes seen here and the decisions taken here to the store.
func (g *Gateway) publishCrashes(ctx context.Context) {
	c := g.crashes
	for sleep(ctx, crashPublishInterval) {
		now := g.c.Clock.Now()
		c.removeExpired(now)
		c.writeReports(ctx, now)
		c.writeEntries(ctx, now)
	}
}

// writeReports adds the rows of new reports and removes old ones. What was cleared or explained
// meanwhile is left out.
func (c *crashes) writeReports(ctx context.Context, now kumquatlug.Millis) {
	tx := kumquatlug.NewTx(c.g.c.Incarnation)
	var added []publishedReport
	c.mu.Lock()
	next := c.unpublished[:min(len(c.unpublished), maxCrashRowsPerCommit)]
	for _, r := range next {
		if r = c.evidence.Unexplained(r); len(r.Suspects) == 0 {
			continue
		}
		key := c.reportRowKey(r)
		tx = tx.Put(key, quarantine.EncodeReportRow(r))
		added = append(added, publishedReport{key: key, at: now})
	}
	removed := c.expiredReports(now, len(added))
	c.mu.Unlock()
	for _, key := range removed {
		tx = tx.Delete(key)
	}
	if tx.Entries() > 0 {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		defer cancel()
		if err := c.g.c.Table.Commit(ctx, tx); err != nil {
			c.g.c.Logger.Warn("failed to write crash reports", zap.Int("count", tx.Entries()), logs.Error(err))
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unpublished = c.unpublished[len(next):]
	c.published = append(c.published, added...)
	for _, key := range removed {
		delete(c.seenAt, key)
	}
}

// expiredReports returns the keys of the rows to be removed: own ones beyond the limit, and old ones of
// any gateway, since some never come back. The caller must hold c.mu.
func (c *crashes) expiredReports(now kumquatlug.Millis, added int) []string {
	var keys []string
	for len(c.published) > 0 && len(keys) < maxCrashRowsPerCommit/2 && (len(c.published)+added > maxCrashRows || now-c.published[0].at >= crashRowRetention) {
		keys = append(keys, c.published[0].key)
		c.published = c.published[1:]
	}
	// Their writers remove them first.
	const slack = 10 * kumquatlug.Minute
	for key, at := range c.seenAt {
		if len(keys) < maxCrashRowsPerCommit && now-at >= crashRowRetention+slack {
			keys = append(keys, key)
		}
	}
	return keys
}

// writeEntries writes the entries that the store does not have yet.
func (c *crashes) writeEntries(ctx context.Context, now kumquatlug.Millis) {
	c.mu.Lock()
	var due []kumquatlug.QuarantineEntry
	for key, u := range c.unwritten {
		switch {
		case c.stored[key] >= u.entry.Revision:
			delete(c.unwritten, key)
		case now >= u.due && len(due) < maxCrashRowsPerCommit:
			due = append(due, u.entry)
		}
	}
	c.mu.Unlock()
	for _, q := range due {
		if err := c.writeEntry(ctx, q); err != nil {
			c.g.c.Logger.Warn("failed to write a quarantine", append(quarantineFields(q), logs.Error(err))...)
			return
		}
	}
}

// writeEntry writes an entry unless the store has a newer one.
func (c *crashes) writeEntry(ctx context.Context, q kumquatlug.QuarantineEntry) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	stored := q
	err := c.g.updateRow(ctx, quarantine.EntryRowKey(q), func(row kumquatlug.Row, _ kumquatlug.Millis) ([]byte, error) {
		stored = q
		if row.Exists() {
			// An invalid row is replaced.
			if before, err := quarantine.DecodeEntryRow(row.Value()); err == nil && (before.Revision > q.Revision || before.Revision == q.Revision && !q.Released) {
				stored = before
				return nil, nil
			}
		}
		return quarantine.EncodeEntryRow(q), nil
	})
	if err != nil {
		return err
	}
	c.applyEntry(stored)
	return nil
}

// applyEntry applies an entry that is in the store.
func (c *crashes) applyEntry(q kumquatlug.QuarantineEntry) {
	c.mu.Lock()
	key := quarantine.EntryKey(q)
	c.stored[key] = q.Revision
	if u, found := c.unwritten[key]; found && u.entry.Revision <= q.Revision {
		delete(c.unwritten, key)
	}
	c.evidence.Receive(c.g.c.Clock.Now(), kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{q}})
	c.mu.Unlock()
	c.flush()
}

// watchCrashes applies what other gateways have written.
func (g *Gateway) watchCrashes(ctx context.Context) {
	w := &tableWatcher{g: g, table: g.c.CrashTable, pollWait: crashPollWait, minDelay: crashGatherDelay}
	c := g.crashes
	w.watch(ctx, func(now kumquatlug.Millis) {
		if w.synced && w.fullRead {
			c.resetStored()
		}
		for _, row := range w.changed {
			c.applyRow(now, row)
		}
		if w.synced && w.fullRead {
			c.restoreEntries(now)
		}
		c.mu.Lock()
		c.loaded = true
		c.mu.Unlock()
	})
}

// applyRow applies one changed row.
func (c *crashes) applyRow(now kumquatlug.Millis, row kumquatlug.Row) {
	switch key := row.Key(); {
	case !row.Exists():
		c.mu.Lock()
		delete(c.seenAt, key)
		c.mu.Unlock()
	case strings.HasPrefix(key, quarantine.EntryRowPrefix):
		q, err := quarantine.DecodeEntryRow(row.Value())
		if err != nil {
			c.g.c.Logger.Warn("invalid quarantine ignored", zap.String("row", key), logs.Error(err))
			return
		}
		c.applyEntry(q)
	case strings.HasPrefix(key, crashReportPrefix):
		r, err := quarantine.DecodeReportRow(row.Value())
		if err != nil {
			c.g.c.Logger.Warn("invalid crash report ignored", zap.String("row", key), logs.Error(err))
			return
		}
		c.mu.Lock()
		if _, known := c.seenAt[key]; !known {
			c.seenAt[key] = now
		}
		c.evidence.Receive(now, kumquatlug.QuarantineMessage{Reports: []kumquatlug.CrashReport{r}})
		c.mu.Unlock()
		c.flush()
	}
}

// resetStored forgets which entries the store has.
func (c *crashes) resetStored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.stored)
}

// restoreEntries has the entries written that the store does not have, or has in an older state.
func (c *crashes) restoreEntries(now kumquatlug.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.evidence.Entries() {
		key := quarantine.EntryKey(q)
		if _, waiting := c.unwritten[key]; !waiting && c.stored[key] < q.Revision {
			c.unwritten[key] = unwrittenEntry{entry: q, due: now + c.entryWriteWait()}
		}
	}
}

// crashesLoaded reports whether it is known what is under quarantine, as far as the store can tell.
func (g *Gateway) crashesLoaded() bool {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return g.crashes.loaded
}
