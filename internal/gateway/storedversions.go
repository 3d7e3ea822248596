package gateway

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Parameters of the records of running streams in the store.
const (
	// streamsRowPrefix is the prefix of the keys of rows with records, by incarnation of the gateway and number.
	streamsRowPrefix = "streams/"
	maxStreamsRows   = 10_000
	// expiredRowsInterval is the time between two reads by which the holder of the lease finds expired rows.
	expiredRowsInterval = 60 * kumquatlug.Second
)

// storedVersions is the state of the records of running streams in the store. The mutex of [streamVersions]
// guards it.
type storedVersions struct {
	running *streamversion.RunningStreams
	// records are those in the store as of readAt, the beginning of the call that read them, zero for never.
	records streamversion.StoredRecords
	readAt  kumquatlug.Millis
	// reading is closed when the read in progress has ended, nil while there is none.
	reading chan struct{}
	// notBefore is when the store may be called again after a failure, expiredDue when expired rows are removed.
	notBefore, expiredDue kumquatlug.Millis
}

func newStoredVersions(g *Gateway) storedVersions {
	return storedVersions{
		running:    streamversion.NewRunningStreams(streamsRowPrefix + g.c.Incarnation + "/"),
		expiredDue: g.c.BootClock.Now() + expiredRowsInterval,
	}
}

// addRunning records that this gateway serves a stream that its client may take up.
func (v *streamVersions) addRunning(f *inflight) {
	if !f.mayBeTakenUp() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored.running.Begin(v.g.c.BootClock.Now(), f.service.Name(), f.request.StreamID(), f.version)
}

// removeRunning records that a client has received its whole response.
func (v *streamVersions) removeRunning(f *inflight) {
	if !f.mayBeTakenUp() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored.running.End(f.request.StreamID(), f.version)
}

// storeRecords writes the records of running streams to the store, from where they can be read after the loss of
// all gateways.
func (v *streamVersions) storeRecords(ctx context.Context) {
	for sleep(ctx, streamversion.StoreInterval(v.g.scheduler.gatewayCount())) {
		v.storeNew(ctx)
	}
}

// storeNew writes the records that are not stored yet. A gateway that doesn't know how many others there are would write
// too often.
func (v *streamVersions) storeNew(ctx context.Context) {
	uncounted := v.g.c.Peers != nil && !v.peersRead.Load()
	if uncounted || v.g.scheduler.gatewayCount() > streamversion.MaxStoringGateways {
		return
	}
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	if now < v.stored.notBefore {
		v.mu.Unlock()
		return
	}
	w, needed, err := v.stored.running.Next(now, func(service string) *streamversion.View { return v.service(service).View })
	v.mu.Unlock()
	if needed && err == nil {
		tx := kumquatlug.NewTx(v.g.c.Incarnation).Put(w.Key(), w.Value())
		for _, key := range w.Expired() {
			tx = tx.Delete(key)
		}
		err = v.commitStored(ctx, tx)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err != nil:
		v.storedFailed("failed to store the versions of streams", err)
	case needed:
		v.stored.running.Written(now, w)
		v.g.metrics.storedStreams.Add(float64(w.Records()))
	}
}

func (v *streamVersions) commitStored(ctx context.Context, tx kumquatlug.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	return v.g.c.Table.Commit(ctx, tx)
}

// storedFailed logs a failed call about stored records and delays the next one. The caller must hold v.mu.
func (v *streamVersions) storedFailed(message string, err error) {
	v.g.c.Logger.Info(message, logs.Error(err))
	v.stored.notBefore = v.g.c.BootClock.Now() + listingFailureDelay
}

// readStored returns the records in the store as of a read that began after a time, false if they can't be read in
// time. Requests that wait for them share a read.
func (v *streamVersions) readStored(ctx context.Context, after kumquatlug.Millis) (streamversion.StoredRecords, bool) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	defer v.mu.Unlock()
	for v.stored.readAt <= after {
		if v.stored.reading == nil {
			if v.g.c.BootClock.Now() < v.stored.notBefore {
				return streamversion.StoredRecords{}, false
			}
			v.stored.reading = make(chan struct{})
			go v.scanStored()
		}
		reading := v.stored.reading
		v.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		v.mu.Lock()
		if ctx.Err() != nil {
			return streamversion.StoredRecords{}, false
		}
	}
	return v.stored.records, true
}

// scanStored makes one read of the records.
func (v *streamVersions) scanStored() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
	defer cancel()
	begunAt := v.g.c.BootClock.Now()
	rows, err := v.g.c.Table.Scan(ctx, streamsRowPrefix, "", maxStreamsRows)
	records := streamversion.DecodeStoredRecords(rows)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.storedFailed("failed to read the stored versions of streams", err)
	} else {
		v.stored.records, v.stored.readAt = records, begunAt
	}
	close(v.stored.reading)
	v.stored.reading = nil
}

// findStored looks up the version of a stream in the store. A read that is not older than the time between two
// writes of a gateway serves for it.
func (v *streamVersions) findStored(ctx context.Context, service, id string) (version string, conflicting bool) {
	gateways := v.g.scheduler.gatewayCount()
	if gateways > streamversion.MaxStoringGateways {
		return "", false
	}
	records, read := v.readStored(ctx, v.g.c.BootClock.Now()-streamversion.StoreInterval(gateways))
	if !read {
		return "", false
	}
	return records.Find(service, id)
}

// removeExpired removes rows that no stream needs any more, including those of gateways that no longer run.
func (v *streamVersions) removeExpired(ctx context.Context) {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	due := now >= v.stored.expiredDue
	if due {
		v.stored.expiredDue = now + expiredRowsInterval
	}
	v.mu.Unlock()
	if !due {
		return
	}
	records, read := v.readStored(ctx, now-expiredRowsInterval)
	if !read {
		return
	}
	for keys := range slices.Chunk(records.Expired(), kumquatlug.MaxTxEntries) {
		tx := kumquatlug.NewTx(v.g.c.Incarnation)
		for _, key := range keys {
			tx = tx.Delete(key)
		}
		if err := v.commitStored(ctx, tx); err != nil {
			v.g.c.Logger.Info("failed to remove stored versions of streams", zap.Int("rows", tx.Entries()), logs.Error(err))
			return
		}
	}
}
