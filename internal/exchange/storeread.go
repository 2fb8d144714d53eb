package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wait"
)

// readLoop reads the store while shouldRead reports that this process must.
func (d *Directory) readLoop(ctx context.Context) error {
	list := true
	retry := retryMin
	for ctx.Err() == nil {
		shouldRead, reader, revision := d.readDecision(node.Clock())
		if !shouldRead {
			retry = retryMin
			if wait.For(ctx, readInterval/2) != nil {
				return nil
			}
			continue
		}
		err := d.readOnce(ctx, d.store, list || revision == 0, revision, configstore.WatchWait)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, configstore.ErrHistoryLost):
			d.log.Info("store discarded its history; listing all items", zap.Uint64("revision", revision))
			list = true
			continue
		case err != nil:
			limit := retryMax
			if reader {
				limit = retryMaxReader
			}
			if wait.For(ctx, retry/2+rand.N(retry)) != nil {
				return nil
			}
			retry = min(retry*2, limit)
			continue
		}
		list, retry = false, retryMin
		if wait.For(ctx, readInterval) != nil {
			return nil
		}
	}
	return nil
}

func (d *Directory) readDecision(now int64) (shouldRead, reader bool, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := d.readerPeers()
	return !d.stopping && d.election.shouldRead(peers, d.catalog.AsOf(), now), d.election.isReader(peers, now), d.catalog.Revision()
}

func (d *Directory) readerPeers() []readerPeer {
	var list []readerPeer
	for address, p := range d.peers {
		if p.lastReaderHeartbeat > 0 {
			list = append(list, readerPeer{address, p.lastReaderHeartbeat})
		}
	}
	return list
}

// readOnce makes one call to the store and applies the response. wait is how long
// a watch waits for a change.
func (d *Directory) readOnce(ctx context.Context, store *configstore.Store, list bool, revision uint64, wait time.Duration) error {
	startedAt := node.Clock()
	var response configstore.Response
	var err error
	if list {
		d.counters.storeLists.Inc(1)
		response, err = store.List(ctx)
	} else {
		d.counters.storeWatches.Inc(1)
		response, err = store.Watch(ctx, revision, wait)
	}
	now := node.Clock()
	d.recordStoreResult(ctx, err, time.Duration(now-startedAt))
	if err != nil {
		return err
	}
	// A list is as old as its first page, a watch as its response.
	asOf := startedAt
	if !list {
		asOf = max(startedAt, now-int64(maxResponseLatency))
	}
	d.mu.Lock()
	d.recordStoreRevision(response, revision)
	before := d.catalog.Revision()
	var changes []catalog.Change
	if list {
		changes = d.catalog.Replace(response.Items, response.Revision, asOf)
	} else {
		changes, _ = d.catalog.Apply(revision, response.Revision, response.Items, asOf)
	}
	d.publishUpdate(before, changes, "store", now)
	push, recipients := d.push(before, now, maxFanOut)
	d.mu.Unlock()
	d.sendAll(push, recipients)
	return nil
}

// recordStoreResult counts failed calls and logs when the store becomes
// unreachable or reachable again.
func (d *Directory) recordStoreResult(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	ok := err == nil || errors.Is(err, configstore.ErrHistoryLost)
	d.mu.Lock()
	changed := ok != d.storeOK
	d.storeOK = ok
	revision := d.catalog.Revision()
	d.mu.Unlock()
	switch {
	case !ok:
		d.counters.storeFailures.Inc(1)
		if changed {
			d.log.Warn("lost the store", zap.Error(err), zap.Duration("took", took), zap.Uint64("revision", revision))
		}
	case changed:
		d.log.Info("reached the store", zap.Duration("took", took), zap.Uint64("revision", revision))
	}
}

// recordStoreRevision reports the era and revision of a response, and when the
// store's revision is lower than the one that was known before the call; d.mu is held.
func (d *Directory) recordStoreRevision(r configstore.Response, known uint64) {
	d.counters.storeEra.Update(float64(r.Era))
	d.counters.storeRevision.Update(float64(r.Revision))
	behind := r.Revision < known
	if behind {
		d.counters.storeBehind.Inc(1)
	}
	if behind != d.storeBehind {
		d.storeBehind = behind
		fields := []zap.Field{zap.Uint64("era", r.Era), zap.Uint64("store_revision", r.Revision), zap.Uint64("revision", known)}
		if behind {
			d.log.Warn("store returned a lower revision than the known one", fields...)
		} else {
			d.log.Info("store returns the known revision or a later one", fields...)
		}
	}
}

// Confirm requests a confirmation of the view that is later than since.
func (d *Directory) Confirm(since int64) {
	select {
	case d.confirms <- since:
	default: // one is pending
	}
}

// confirmLoop asks the store whether the current revision is still the newest, and
// informs the peers, which are likely to need the confirmation as well. It has its
// own connections, because a watch may block the other one.
func (d *Directory) confirmLoop(ctx context.Context) error {
	retry := confirmInterval
	for {
		var since int64
		select {
		case <-ctx.Done():
			return nil
		case since = <-d.confirms:
		}
		d.mu.Lock()
		revision, asOf := d.catalog.Revision(), d.catalog.AsOf()
		d.mu.Unlock()
		if revision == 0 || asOf >= since {
			continue // the first view comes from the read loop
		}
		if err := d.readOnce(ctx, d.confirmStore, false, revision, time.Millisecond); err != nil {
			retry = min(retry*2, retryMax)
		} else {
			retry = confirmInterval
			d.broadcastConfirmation()
		}
		if wait.For(ctx, retry) != nil {
			return nil
		}
	}
}

// broadcastConfirmation sends the age of the view to the peers.
func (d *Directory) broadcastConfirmation() {
	d.mu.Lock()
	m, recipients := d.heartbeat(node.Clock()), d.samplePeers(maxFanOut)
	d.mu.Unlock()
	d.sendAll(m, recipients)
}
