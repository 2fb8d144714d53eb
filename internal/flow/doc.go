package flow

// Concurrency: several workers may call FromPeer, FromHost and Control at the
// same time; any goroutine may call SetView, ApplyHostReport, Tick, Drain and
// StopComplete. The view pointer and the counters are atomic. Flow records and
// registrations belong to one shard of the table, chosen by the flow key, and are
// guarded by that shard's mutex. Agent.mu guards peers, queries, queues, rate limiters and
// the chooser. Lock order: shard, then Agent.mu. No code locks a shard while it
// holds Agent.mu, and no code holds two shard locks.
