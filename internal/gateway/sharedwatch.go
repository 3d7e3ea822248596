package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/catchup"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/sharedreads"
)

const (
	// shareInterval is how often a watcher checks what is due by time alone. It must be
	// far below the 500 ms after which a process counts as frozen.
	shareInterval = 50 * kumquatlug.Millis(1)
	// reasonLogInterval is the shortest time between two log lines about who reads a table.
	reasonLogInterval = 1 * kumquatlug.Second
)

// sharedRead is the result of a read of the store.
type sharedRead struct {
	sharedreads.Read
	// requestedAt is by Clock, requestedBoot by BootClock.
	requestedAt, requestedBoot kumquatlug.Millis
	rows                       []kumquatlug.Row
	era, version               int64
	err                        error
}

// sharedWatch watches a table that the store or other gateways deliver.
type sharedWatch struct {
	*tableWatcher
	share  *tableShare
	apply  func(now kumquatlug.Millis)
	result chan sharedRead
	// reading says that a read is in flight; the next one starts at nextReadAt.
	reading    bool
	nextReadAt kumquatlug.Millis
	// reason is why the store is read, empty if peers deliver the table.
	reason   sharedreads.Reason
	loggedAt kumquatlug.Millis
	// pushed is the config that was sent to the subscribers last.
	pushed int64
}

// watchShared calls apply after each change of the table and after each read.
func (w *tableWatcher) watchShared(ctx context.Context, share *tableShare, apply func(now kumquatlug.Millis)) {
	s := &sharedWatch{tableWatcher: w, share: share, apply: apply, result: make(chan sharedRead, 1), reason: sharedreads.ReasonStart}
	ticker := time.NewTicker(shareInterval.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.applyPeerChanges()
		s.startRead(ctx)
		select {
		case <-ctx.Done():
		case r := <-s.result:
			s.reading = false
			s.finishRead(r)
		case <-share.wake:
		case <-ticker.C:
			w.g.shares.tick(share)
		}
	}
}

// tick sends the asks that are due and exports the number of subscribers.
func (s *tableShares) tick(share *tableShare) {
	share.mu.Lock()
	share.table.Tick(s.clock.Now())
	out := share.table.Outbox()
	s.subscribers.WithLabelValues(share.name).Set(float64(len(share.table.Subscribers())))
	share.mu.Unlock()
	s.send(out)
}

// startRead starts the read of the store that is due, if any.
func (s *sharedWatch) startRead(ctx context.Context) {
	shares, now := s.g.shares, s.g.c.Clock.Now()
	s.share.mu.Lock()
	read, due := s.share.table.NextRead(shares.clock.Now(), s.nextPollWait(now))
	s.share.mu.Unlock()
	s.logReason(now, read.Reason)
	if s.reading || !due || now < s.nextReadAt || !shares.backoff.admit(s.share.priority) {
		return
	}
	s.reading = true
	shares.calls.WithLabelValues(s.table, string(read.Reason)).Inc()
	r := sharedRead{Read: read, requestedAt: now, requestedBoot: shares.clock.Now()}
	go func() {
		r.rows, r.version, r.era, r.err = s.readStore(ctx, read)
		shares.backoff.done(ctx, r.requestedBoot, r.err)
		s.result <- r
	}()
}

// readStore makes one call to the change feed.
func (s *sharedWatch) readStore(ctx context.Context, r sharedreads.Read) (rows []kumquatlug.Row, version, era int64, err error) {
	feed := s.g.shares.feed
	before := feed.Era()
	if r.Snapshot {
		rows, version, err = feed.Snapshot(ctx, s.table)
	} else {
		rows, version, err = feed.Changes(ctx, s.table, r.After, r.Wait)
	}
	if err != nil {
		return nil, 0, 0, err
	}
	era = feed.Era()
	switch {
	case len(rows) > 0:
		era = rows[0].Era()
	case before >= 0 && era != before:
		return nil, 0, 0, errors.Mark(errors.Newf("read %s: the store was restored meanwhile", s.table), kumquatlug.ErrNotFound)
	}
	return rows, version, max(era, 0), nil
}

// finishRead applies the result of a read.
func (s *sharedWatch) finishRead(r sharedRead) {
	shares, now := s.g.shares, s.g.c.Clock.Now()
	if r.err != nil {
		s.readFailed(now, r.err)
		s.share.mu.Lock()
		s.share.table.ReadFailed(shares.clock.Now())
		out := s.share.table.Outbox()
		s.share.mu.Unlock()
		shares.send(out)
		s.apply(now)
		if !shares.active() || errors.Is(r.err, kumquatlug.ErrNotFound) {
			s.nextReadAt = now + s.retryDelay(r.err)
		}
		return
	}
	s.share.mu.Lock()
	boot := shares.clock.Now()
	if s.storeReturning(now) {
		// Rows that expired while the store was unavailable are missing now and kept
		// here; other gateways would remove them.
		s.share.table.Withhold(boot + storeReturnGrace - (now - max(s.lastFailureAt, s.peerFailureAt)))
	}
	s.share.hidden = true
	s.share.table.ReadDone(boot, r.requestedBoot, r.Read, r.era, r.version, r.rows)
	changes := s.share.table.Changes()
	s.share.mu.Unlock()
	s.synced = true
	s.readSucceeded(now)
	if len(changes) == 0 {
		s.changed, s.fullRead = nil, false
		s.apply(now)
	}
	changed := s.applyChanges(now, changes)
	s.share.mu.Lock()
	s.share.hidden = false
	out := s.share.table.Outbox()
	s.share.mu.Unlock()
	shares.send(out)
	s.pushConfig()
	if changed {
		s.updateGatherDelay(now - r.requestedAt)
		s.nextReadAt = now + s.gatherDelay
	}
}

// applyPeerChanges applies the changes that peers sent, and the end of storeReturnGrace.
func (s *sharedWatch) applyPeerChanges() {
	now := s.g.c.Clock.Now()
	s.share.mu.Lock()
	changes := s.share.table.Changes()
	s.peerFailureAt = 0
	if at := s.share.table.DoubtAt(); at > 0 {
		s.peerFailureAt = now - (s.g.shares.clock.Now() - at)
	}
	s.share.mu.Unlock()
	s.applyChanges(now, changes)
	if s.recheck && !s.storeReturning(now) && s.share != s.g.shares.config {
		s.recheck, s.changed = false, nil
		s.apply(now)
	}
}

// applyChanges applies changes of the rows and reports whether there were any.
func (s *sharedWatch) applyChanges(now kumquatlug.Millis, changes []sharedreads.Change) bool {
	for _, c := range changes {
		if c.Full {
			s.rows = make(map[string]kumquatlug.Row, len(c.Rows))
		}
		for _, row := range c.Rows {
			s.era = max(s.era, row.Era())
			if s.rows[row.Key()] = row; !row.Exists() {
				delete(s.rows, row.Key())
			}
		}
		s.changed, s.fullRead, s.synced = c.Rows, c.Full, true
		if c.FromPeer {
			s.recheck = s.recheck || s.storeReturning(now)
			s.g.shares.received.WithLabelValues(s.table).Add(float64(len(c.Rows)))
		}
		s.apply(now)
	}
	return len(changes) > 0
}

// pushConfig sends the text of a new config to the subscribers. A lost part is requested by
// the receiver.
func (s *sharedWatch) pushConfig() {
	current := s.g.configFetch.current.Load()
	if s.share != s.g.shares.config || current == nil || current.version == s.pushed {
		return
	}
	s.pushed = current.version
	s.share.mu.Lock()
	subscribers := s.share.table.Subscribers()
	s.share.mu.Unlock()
	for _, peer := range subscribers {
		for _, part := range catchup.PartsFor(kumquatlug.ConfigRequest{Version: current.version}, current.version, current.text) {
			s.g.c.Peers.SendConfigPart(peer, part)
		}
	}
}

// logReason logs who reads the table if that changed.
func (s *sharedWatch) logReason(now kumquatlug.Millis, reason sharedreads.Reason) {
	if reason == s.reason || now-s.loggedAt < reasonLogInterval {
		return
	}
	s.reason, s.loggedAt = reason, now
	if reason == "" {
		s.g.c.Logger.Info("table from other fronts", zap.String("table", s.table))
		return
	}
	s.g.c.Logger.Info("table read from the store", zap.String("table", s.table), zap.String("reason", string(reason)))
}
