package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

const (
	// maxRequestBytes allows the digests of 4,000 sections.
	maxRequestBytes = 160 << 10
	// maxResponseBytes allows a bundle and a VM list of 1 MB each, and framing.
	maxResponseBytes = 2<<20 + 64<<10
	// windowBytes limits the zstd window, and with it the memory of each compressor
	// and decompressor.
	windowBytes = 256 << 10

	handshakeTimeout = 3 * time.Second
	// transferTimeout allows a transfer of 1 MB at 200 KB/s.
	transferTimeout = 8 * time.Second
)

// Errors of Client.Pull.
var (
	ErrBusy      = errors.New("transport: peer has reached its limit of concurrent transfers")
	ErrOversized = errors.New("transport: message exceeds the size limit")
)

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// A session lasts for one transfer, and deadlines end it before keepalive pings
	// would detect a dead peer.
	config.EnableKeepAlive = false
	config.AcceptBacklog = 4
	config.ConnectionWriteTimeout = transferTimeout
	config.StreamOpenTimeout = transferTimeout
	config.StreamCloseTimeout = transferTimeout
	config.LogOutput = io.Discard
	return config
}

// encoders is a pool of zstd compressors with a window of windowBytes.
var encoders = sync.Pool{New: func() any {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(fmt.Sprintf("transport: create zstd encoder: %v", err))
	}
	return encoder
}}

func writeRequest(w io.Writer, m *schema.BundleRequest) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

func readRequest(r io.Reader) (*schema.BundleRequest, error) {
	m := &schema.BundleRequest{}
	return m, readMessage(r, m, maxRequestBytes)
}

// writeResponse compresses m with zstd and writes it to w.
func writeResponse(w io.Writer, m *schema.BundleResponse) error {
	encoder := encoders.Get().(*zstd.Encoder)
	defer encoders.Put(encoder)
	encoder.Reset(w)
	if _, err := protodelim.MarshalTo(encoder, m); err != nil {
		return err
	}
	return encoder.Close()
}

func readResponse(r io.Reader) (*schema.BundleResponse, error) {
	decoder, err := zstd.NewReader(io.LimitReader(r, maxResponseBytes),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(windowBytes))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	defer decoder.Close()
	m := &schema.BundleResponse{}
	return m, readMessage(decoder, m, maxResponseBytes)
}

// readMessage reads one length-delimited message of at most limit bytes.
func readMessage(r io.Reader, m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(bufio.NewReader(r), m)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrOversized, tooLarge.Size, limit)
	}
	return err
}

// countingConn reports the bytes read from and written to a connection to count.
type countingConn struct {
	net.Conn
	count func(read, written int)
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n, 0)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n)
	return n, err
}
