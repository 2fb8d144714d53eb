package wire

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that does not start with port 0 because the UDP port
// that the kernel chose is in use for TCP.
func TestListenPairTriesAnotherPort(t *testing.T) {
	c := qt.New(t)
	var refused []uint16
	socket, listener, err := listenPair("127.0.0.1:0", func(network, address string) (net.Listener, error) {
		if len(refused) < 5 {
			refused = append(refused, netip.MustParseAddrPort(address).Port())
			return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
		}
		return net.Listen(network, address)
	})
	c.Assert(err, qt.IsNil)
	c.Check(refused, qt.Not(qt.Contains), socket.Address().Port())
	c.Check(listener.Addr().String(), qt.Equals, socket.Address().String())
	c.Check(listener.Close(), qt.IsNil)
	c.Check(socket.Close(), qt.IsNil)
}

// Guards against a process that listens on another port than the configured one,
// or that tries forever.
func TestListenPairReportsTakenPort(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = taken.Close() }()
	_, _, err = ListenPair(taken.Addr().String())
	c.Check(err, qt.ErrorIs, syscall.EADDRINUSE)
	calls := 0
	_, _, err = listenPair("127.0.0.1:0", func(string, string) (net.Listener, error) {
		calls++
		return nil, syscall.EADDRINUSE
	})
	c.Check(err, qt.ErrorIs, syscall.EADDRINUSE)
	c.Check(calls, qt.Equals, portAttempts)
}
