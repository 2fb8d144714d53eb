package flow

// Concurrency. FromPeer, FromHost and Control may be called by several workers
// at once; SetView, HostHealth, Tick, Drain and Done by any goroutine. The view
// pointer and the counters are atomic. Flow records and registrations belong to
// one shard of the table, chosen by the flow key, and are guarded by that
// shard's mutex. Peers, queries, queues, budgets and the chooser belong to
// Agent.mu. Lock order: shard, then Agent.mu. No code takes a shard while it
// holds Agent.mu, and no code holds two shards.
