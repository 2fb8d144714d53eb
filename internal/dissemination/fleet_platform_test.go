package dissemination

import "time"

func (f *fleet) countPlatformRead() {
	f.platform.readsBySecond[f.now/time.Second]++
	f.platform.totalReads++
}

func (f *fleet) readPlatform(n *node) {
	f.countPlatformRead()
	if n.entry {
		f.countPlatformRead()
	}
	core := n.core
	f.after(platformDelay, func() {
		if n.core == core {
			f.platformAnswer(n)
		}
	})
}

// platformAnswer delivers the platform's current state, or its failure, to a
// node and reports whether the platform is healthy.
func (f *fleet) platformAnswer(n *node) bool {
	healthy := !f.platform.down
	f.dispatch(n, func(out *Actions) {
		if healthy {
			if n.entry && n.core.AcceptPlatformVMs(f.platform.vmIndex, f.platform.vmIndex, f.now) {
				n.core.SetDirectory(f.directory, f.now, out)
			}
			if f.platform.version.Compare(n.core.Held()) > 0 {
				n.core.BundleApplied(f.platform.version, "platform", f.now, out)
				f.recordHeld(n)
				if n.core.directory == nil && n.core.vms.version != 0 {
					n.core.SetDirectory(f.directory, f.now, out)
				}
			}
		}
		n.core.PlatformAnswered(healthy, f.now, out)
	})
	return healthy
}

func (f *fleet) startWatch(n *node) {
	n.watching = true
	n.watchGeneration++
	n.watchFailures = 0
	f.startQuery(n, n.watchGeneration)
}

// startQuery simulates one blocking query for each of the two keys. On failure
// it is repeated with the backoff of the client.
func (f *fleet) startQuery(n *node, generation int) {
	if n.watchGeneration != generation || n.dead {
		return
	}
	f.countPlatformRead()
	f.countPlatformRead()
	f.deliverAnswer(n, generation)
}

// deliverAnswer delivers the answer after the platform delay, or once a paused
// process runs again.
func (f *fleet) deliverAnswer(n *node, generation int) {
	f.after(platformDelay, func() {
		if n.watchGeneration != generation {
			return
		}
		if n.paused {
			f.deliverAnswer(n, generation)
			return
		}
		if f.platformAnswer(n) {
			n.watchFailures = 0
			f.platform.pendingQueries[n] = true
			f.after(30*time.Second, func() { f.completeQuery(n, generation) })
			return
		}
		n.watchFailures++
		delay := min(20*time.Second, 400*time.Millisecond<<min(n.watchFailures-1, 10))
		delay = delay/2 + time.Duration(f.random.Int64N(int64(delay)))
		f.after(delay, func() { f.startQuery(n, generation) })
	})
}

func (f *fleet) completeQuery(n *node, generation int) {
	if n.watchGeneration == generation && f.platform.pendingQueries[n] {
		delete(f.platform.pendingQueries, n)
		f.startQuery(n, generation)
	}
}

// completeQueries completes all pending blocking queries after a change or a
// failure.
func (f *fleet) completeQueries() {
	for _, n := range f.nodes {
		if f.platform.pendingQueries[n] {
			f.completeQuery(n, n.watchGeneration)
		}
	}
}

func (f *fleet) publish(version Version) {
	f.platform.version = version
	f.completeQueries()
}

func (f *fleet) setPlatformDown(down bool) {
	f.platform.down = down
	f.completeQueries()
}

// peakMinuteReadRate returns the highest rate of platform reads per second,
// averaged over one minute.
func (f *fleet) peakMinuteReadRate(since time.Duration) (peak float64) {
	for first := since / time.Second; first <= f.now/time.Second; first++ {
		sum := 0
		for second := first; second < first+60; second++ {
			sum += f.platform.readsBySecond[second]
		}
		peak = max(peak, float64(sum)/60)
	}
	return peak
}

// traffic returns the mean and the highest number of bytes per second that a
// process sent and received in [since, now).
func (f *fleet) traffic(since time.Duration) (mean, peak float64) {
	first, end := since/time.Second, f.now/time.Second
	for _, n := range f.nodes {
		for second := first; second < end; second++ {
			mean += float64(n.bytesBySecond[second])
			peak = max(peak, float64(n.bytesBySecond[second]))
		}
	}
	return mean / float64(len(f.nodes)) / float64(end-first), peak
}

// peakSecondReads returns the highest number of platform reads in one second.
func (f *fleet) peakSecondReads(since time.Duration) (peak int) {
	for second, reads := range f.platform.readsBySecond {
		if second >= since/time.Second {
			peak = max(peak, reads)
		}
	}
	return peak
}
