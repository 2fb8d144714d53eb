// Package standin provides fakes of the systems around heathergw: the fabric
// that sprays packets over the entries, hosts with a health endpoint, clients,
// and the platform's key-value store. The fakes exchange real datagrams over
// loopback sockets and are used by the tests and the demo. A Ledger combines the
// observations of clients and hosts.
//
// Lock order: Client before Fabric; Client or Host before Ledger. The fabric
// calls its callbacks without holding its lock.
package standin
