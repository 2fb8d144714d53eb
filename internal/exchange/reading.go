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

// readStore reads the store while it is this process's duty.
func (d *Directory) readStore(ctx context.Context) error {
	list := true
	retry := retryMin
	for ctx.Err() == nil {
		due, reader, revision := d.readDue(node.Clock())
		if !due {
			retry = retryMin
			if wait.For(ctx, readGap/2) != nil {
				return nil
			}
			continue
		}
		err := d.readOnce(ctx, d.store, list || revision == 0, revision, configstore.StoreWait)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, configstore.ErrHistoryLost):
			d.log.Info("store discarded its history; listing everything", zap.Uint64("revision", revision))
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
		if wait.For(ctx, readGap) != nil {
			return nil
		}
	}
	return nil
}

func (d *Directory) readDue(now int64) (due, reader bool, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := d.readerPeers()
	return !d.stopping && d.duty.due(peers, d.catalog.AsOf(), now), d.duty.reads(peers, now), d.catalog.Revision()
}

func (d *Directory) readerPeers() []readerPeer {
	var list []readerPeer
	for address, p := range d.peers {
		if p.readerAt > 0 {
			list = append(list, readerPeer{address, p.readerAt})
		}
	}
	return list
}

// readOnce makes one call to the store and takes what it says. wait is how
// long a watch waits for a change.
func (d *Directory) readOnce(ctx context.Context, store *configstore.Store, list bool, revision uint64, wait time.Duration) error {
	began := node.Clock()
	var answer configstore.Response
	var err error
	if list {
		d.counters.lists.Inc(1)
		answer, err = store.List(ctx)
	} else {
		d.counters.watches.Inc(1)
		answer, err = store.Watch(ctx, revision, wait)
	}
	now := node.Clock()
	d.storeResult(ctx, err, time.Duration(now-began))
	if err != nil {
		return err
	}
	// A list is as old as its first page, a watch as its answer.
	asOf := began
	if !list {
		asOf = max(began, now-int64(answerLatency))
	}
	d.mu.Lock()
	before := d.catalog.Revision()
	var changes []catalog.Change
	if list {
		changes = d.catalog.Replace(answer.Items, answer.Revision, asOf)
	} else {
		changes, _ = d.catalog.Apply(revision, answer.Revision, answer.Items, asOf)
	}
	d.finish(before, changes, "store", now)
	push, to := d.push(before, now, maxFanOut)
	d.mu.Unlock()
	d.sendAll(push, to)
	return nil
}

// storeResult logs when the store is lost or regained.
func (d *Directory) storeResult(ctx context.Context, err error, took time.Duration) {
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
		d.counters.failures.Inc(1)
		if changed {
			d.log.Warn("lost the store", zap.Error(err), zap.Duration("took", took), zap.Uint64("revision", revision))
		}
	case changed:
		d.log.Info("reached the store", zap.Duration("took", took), zap.Uint64("revision", revision))
	}
}

// Confirm asks for a confirmation of the view that is later than since.
func (d *Directory) Confirm(since int64) {
	select {
	case d.confirms <- since:
	default: // one is pending
	}
}

// confirmLoop asks the store whether the revision held is still the newest, and
// tells the peers, which are likely to need it as well. It uses connections of
// its own, because a watch may be waiting on the other.
func (d *Directory) confirmLoop(ctx context.Context) error {
	retry := confirmGap
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
			continue // the first view comes from the reading loop
		}
		if err := d.readOnce(ctx, d.confirmStore, false, revision, time.Millisecond); err != nil {
			retry = min(retry*2, retryMax)
		} else {
			retry = confirmGap
			d.shareConfirmation()
		}
		if wait.For(ctx, retry) != nil {
			return nil
		}
	}
}

// shareConfirmation tells all peers how fresh the view is.
func (d *Directory) shareConfirmation() {
	d.mu.Lock()
	m, to := d.beat(node.Clock()), d.somePeers(maxFanOut)
	d.mu.Unlock()
	d.sendAll(m, to)
}
