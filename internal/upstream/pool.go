package upstream

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/responsehead"
)

// maxRequests is how many requests a connection carries, to bound what is kept of them: 8
// bytes each. It makes one request in a thousand cost a connection.
const maxRequests = 1024

// conn is a connection to an endpoint.
type conn struct {
	*boundedConn
	// heads checks the heads of responses, reader reads from it.
	heads  *responsehead.Conn
	reader *bufio.Reader
	// expires is when the idle connection may no longer be used.
	expires time.Time
	// carried holds the hashes of the identifiers of the requests sent on the connection.
	carried []uint64
	// tainted is set once a response to another request was read: more may follow.
	tainted bool
}

func newConn(raw net.Conn) *conn {
	bounded := &boundedConn{Conn: raw, left: unbounded}
	heads := responsehead.NewConn(bounded, false)
	return &conn{boundedConn: bounded, heads: heads, reader: bufio.NewReaderSize(heads, readBuffer)}
}

// readHead reads the head of a response to a request.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.bound(PartHead, maxHeadBytes)
	return c.heads.ReadResponse(c.reader, request)
}

// recordRequest records that a request is sent on the connection.
func (c *conn) recordRequest(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// hasCarried reports whether the connection carried a request with the identifier. Requests
// without one don't count, since nothing distinguishes them.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

// exceptEarlier returns belongs without the responses that name a request which the
// connection has carried by now.
func (c *conn) exceptEarlier(belongs func(http.Header) bool, responseID func(http.Header) string) func(http.Header) bool {
	carried := len(c.carried)
	return func(header http.Header) bool {
		id := responseID(header)
		return belongs(header) && (id == "" || !slices.Contains(c.carried[:carried], xxhash.Sum64String(id)))
	}
}

// Pool sends requests to endpoints and keeps idle connections by address. It is
// safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	now  func() time.Time
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn), now: time.Now} }

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// takeIdle removes from the pool the connection that was used last of those that may carry
// the request, and returns it; nil if there is none. It closes those that it finds unusable.
func (p *Pool) takeIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		usable := now.Before(c.expires) && openAndIdle(c.Conn)
		if usable && c.hasCarried(id) {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if usable {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// giveBack ends the use of a connection on which nothing was sent. A kept one stays usable as
// long as before.
func (p *Pool) giveBack(address string, c *conn, kept bool) {
	if !kept {
		_ = c.Close()
		return
	}
	p.keep(address, c)
}

func (p *Pool) putIdle(address string, c *conn, timeout time.Duration) {
	c.expires = p.now().Add(timeout)
	p.keep(address, c)
}

// keep adds a connection to the idle ones.
func (p *Pool) keep(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle || len(c.carried) >= maxRequests {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}
