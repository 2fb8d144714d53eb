package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wait"
)

// errNewEra means that the store came back from an older copy. All items must be
// listed, because the changes after a revision of the former era are not known.
var errNewEra = errors.New("store has begun a new era")

// errFormerEra means that a response is of an era before the known one. It is not
// used: a late response, or a store that lost count of its eras.
var errFormerEra = errors.New("store response is of a former era")

// requiresList reports whether the error of a watch means that the store responded and
// all its items must be listed.
func requiresList(err error) bool {
	return configstore.RequiresList(err) || errors.Is(err, errNewEra)
}

// readLoop reads the store while shouldRead reports that this process must.
func (d *Directory) readLoop(ctx context.Context) error {
	list := true
	// listed is set when the latest successful call was a list.
	listed := false
	retry := retryMin
	for ctx.Err() == nil {
		shouldRead, reader, known := d.readDecision(node.Clock())
		if !shouldRead {
			retry = retryMin
			if wait.For(ctx, readInterval/2) != nil {
				return nil
			}
			continue
		}
		limit := retryMax
		if reader {
			limit = retryMaxReader
		}
		err := d.readOnce(ctx, d.store, list || !known.Known(), known, configstore.WatchWait)
		switch relist := requiresList(err); {
		case ctx.Err() != nil:
			return nil
		case relist && !listed:
			d.log.Info("listing all items of the store", zap.Error(err), zap.Uint64("era", known.Era), zap.Uint64("revision", known.Revision))
			list = true
			continue
		case err != nil:
			// A list that another one has to follow is retried like a failed call.
			list = list || relist
			if wait.For(ctx, retry/2+rand.N(retry)) != nil {
				return nil
			}
			retry = min(retry*2, limit)
			continue
		}
		if !list {
			retry = retryMin
		}
		listed, list = list, false
		if wait.For(ctx, readInterval) != nil {
			return nil
		}
	}
	return nil
}

func (d *Directory) readDecision(now int64) (shouldRead, reader bool, known catalog.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := d.readerPeers()
	return !d.stopping && d.election.shouldRead(peers, d.catalog.AsOf(), now), d.election.isReader(peers, now), d.catalog.Position()
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

// readOnce makes one call to the store and applies the response: a list, or a watch
// for changes after the known position that waits for at most wait.
func (d *Directory) readOnce(ctx context.Context, store *configstore.Store, list bool, known catalog.Position, wait time.Duration) error {
	startedAt := node.Clock()
	var response configstore.Response
	var err error
	if list {
		d.counters.storeLists.Inc(1)
		response, err = store.List(ctx)
	} else {
		d.counters.storeWatches.Inc(1)
		response, err = store.Watch(ctx, known.Revision, wait)
	}
	now := node.Clock()
	position := catalog.Position{Era: response.Era, Revision: response.Revision}
	if !response.HasEra {
		position.Era = known.Era
	}
	if err == nil {
		err = checkEra(list, known, position)
	}
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
	d.recordStorePosition(position, known)
	before := d.catalog.Position()
	var changes []catalog.Change
	if list {
		changes = d.catalog.Replace(response.Items, position, asOf)
	} else {
		changes, _ = d.catalog.Apply(known, position, response.Items, asOf)
	}
	d.publishUpdate(before, changes, sourceStore, now)
	push, recipients := d.push(before, now, fanOut(before, maxFanOut))
	d.mu.Unlock()
	d.sendAll(push, recipients)
	return nil
}

// checkEra returns an error if a response for the known position cannot be used
// because of its era.
func checkEra(list bool, known, response catalog.Position) error {
	switch {
	case response.Era < known.Era:
		return fmt.Errorf("%w: %d, known is %d", errFormerEra, response.Era, known.Era)
	case response.Era > known.Era && !list:
		return fmt.Errorf("%w: %d, known is %d", errNewEra, response.Era, known.Era)
	default:
		return nil
	}
}

// recordStoreResult counts failed calls and logs when the store becomes
// unreachable or reachable again.
func (d *Directory) recordStoreResult(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	ok := err == nil || requiresList(err)
	d.mu.Lock()
	changed := ok != d.storeOK
	d.storeOK = ok
	revision := d.catalog.Position().Revision
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

// recordStorePosition reports the position of a response, and when it is earlier than
// the one that was known before the call; d.mu is held.
func (d *Directory) recordStorePosition(response, known catalog.Position) {
	d.counters.storeEra.Update(float64(response.Era))
	d.counters.storeRevision.Update(float64(response.Revision))
	fields := []zap.Field{
		zap.Uint64("store_era", response.Era), zap.Uint64("store_revision", response.Revision),
		zap.Uint64("era", known.Era), zap.Uint64("revision", known.Revision),
	}
	if known.Known() && response.Era > known.Era {
		d.counters.storeRestores.Inc(1)
		d.log.Warn("store came back from an older copy", fields...)
	}
	behind := response.Before(known)
	if behind {
		d.counters.storeBehind.Inc(1)
	}
	if behind != d.storeBehind {
		d.storeBehind = behind
		if behind {
			d.log.Warn("store returned an earlier position than the known one", fields...)
		} else {
			d.log.Info("store returns the known position or a later one", fields...)
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
		known, asOf := d.catalog.Position(), d.catalog.AsOf()
		d.mu.Unlock()
		if !known.Known() || asOf >= since {
			continue // the first view comes from the read loop
		}
		err := d.readOnce(ctx, d.confirmStore, false, known, time.Millisecond)
		if requiresList(err) {
			err = d.readOnce(ctx, d.confirmStore, true, known, 0)
		}
		if err != nil {
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
