package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/socket"
)

// pipe relays between the connection of a peer and that to an endpoint.
type pipe struct {
	near, far net.Conn
	service   string
	paths     *reach.Monitor
}

// run relays until the peer closes its connection or one of them fails. It returns the
// bytes sent to the endpoint and received from it, and why the endpoint's side failed; nil
// if it did not.
//
// What the endpoint sends goes to the peer in chunks, the last of which stands for an
// orderly end, since that may complete a response. Without it, however the connection
// ends, the endpoint's side failed, or this host did.
func (p *pipe) run(ctx context.Context) (sent, received int64, err error) {
	wait := p.paths.Begin(p.service, nil)
	defer wait.End()
	peerClosed := make(chan struct{})
	go func() {
		sent, _ = copyBytes(p.far, attendedReader{p.near}, func() {})
		close(peerClosed)
		_ = p.far.Close() // the peer no longer waits
	}()
	chunks := newChunkWriter(p.near)
	received, err = copyBytes(chunks, p.far, func() {
		wait.Received()
		wait.End() // the peer decides how long to wait for more
	})
	select {
	case <-peerClosed:
		return sent, received, nil
	default:
	}
	p.endNear(ctx, chunks, received, err)
	<-peerClosed
	return sent, received, err
}

// endNear passes the end of the endpoint's connection on to the peer.
func (p *pipe) endNear(ctx context.Context, chunks io.Closer, received int64, err error) {
	if err != nil && received == 0 && !errors.Is(err, errWrite) {
		p.paths.RecordFailure(ctx, p.service, nil)
	}
	if err == nil {
		err = chunks.Close()
	}
	half, ok := p.near.(interface{ CloseWrite() error })
	if err != nil || !ok || half.CloseWrite() != nil {
		_ = socket.Reset(p.near)
	}
}

// attendedReader reads from a host, as long as that waits for an answer. A host closes its
// connection only when it does not, so that what it sent before must not reach the endpoint. A
// peer that was paused may read it together with the end.
type attendedReader struct{ net.Conn }

var errGivenUp = errors.New("the host has given the request up")

// Read implements io.Reader.
func (r attendedReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if state, ok := socket.StateOf(r.Conn); n > 0 && ok && state.Ended {
		return 0, errGivenUp
	}
	return n, err
}

// chunkWriter writes each piece as a chunk, by one write to the connection.
type chunkWriter struct {
	chunks io.WriteCloser
	buffer *bufio.Writer
}

// maxChunkHead bounds the bytes of a chunk's size and line ends.
const maxChunkHead = 32

func newChunkWriter(to io.Writer) *chunkWriter {
	buffer := bufio.NewWriterSize(to, relayBuffer+maxChunkHead)
	return &chunkWriter{chunks: httputil.NewChunkedWriter(buffer), buffer: buffer}
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	n, err := w.chunks.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.buffer.Flush()
}

// Close writes the last chunk. It does not close the connection.
func (w *chunkWriter) Close() error {
	if err := w.chunks.Close(); err != nil {
		return err
	}
	return w.buffer.Flush()
}

// errWrite marks errors of the side that is written to.
var errWrite = errors.New("the receiving side failed")

// copyBytes copies until the end of from, and calls arrived after each read. It does not
// use the kernel's shortcuts between sockets, which would hide what arrives.
func copyBytes(to io.Writer, from io.Reader, arrived func()) (int64, error) {
	buffer := make([]byte, relayBuffer)
	copied := int64(0)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			arrived()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return copied, errors.Mark(writeErr, errWrite)
			}
			copied += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
	}
}
