// Package standin holds small fakes of the systems around heathergw: the fabric
// that sprays packets over the entries, hosts with a health endpoint, callers,
// and the platform's configuration service. They exchange real datagrams over
// loopback sockets and serve the tests and the demo. A Ledger joins what
// callers and hosts saw.
//
// Lock order: Caller, then Fabric; Caller or Host, then Ledger. A callback of
// the fabric runs without the fabric's lock.
package standin
