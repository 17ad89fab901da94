package httpserver

import (
	"net/http"
)

// withConnectionClose returns a handler that sets "Connection: close" on the
// responses of a draining server. A request that was read after its connection
// was closed as idle is not handled: the client never gets the response and may
// send the request again.
func (s *Server) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closing := &closingWriter{
			ResponseWriter: w, lastAnswers: s.lastAnswers,
			mayEndByClose: !r.ProtoAtLeast(1, 1) && r.Method != http.MethodHead,
		}
		if conn, ok := r.Context().Value(connKey{}).(*connection); ok {
			if s.wasClosed(conn.Conn) {
				panic(http.ErrAbortHandler)
			}
			defer conn.requests.Add(1)
			if conn.tracked != nil {
				closing.tracked = conn.tracked
				conn.tracked.handled.Add(1)
				if r.Close {
					conn.tracked.saidClose.Store(true) // net/http says so
				}
				defer closing.end()
			}
		}
		next.ServeHTTP(closing, r)
		closing.begin() // an empty response begins after the handler
		closing.complete = true
	})
}

// closingWriter sets "Connection: close" on a response that begins while the server
// drains, unless a further request is arriving behind its request: net/http closes the
// connection after the response and drops what it has read by then.
type closingWriter struct {
	http.ResponseWriter
	// lastAnswers reports whether responses say that their connection closes.
	lastAnswers func() bool
	// tracked is the connection, or nil if the server did not accept it.
	tracked *trackedConn
	began   bool
	// mayEndByClose is set if the end of the connection is the end of a response without a
	// length, as in HTTP/1.0.
	mayEndByClose bool
	// complete is set once the handler has returned.
	complete bool
}

// end records the end of the handler, which may have panicked.
func (w *closingWriter) end() {
	if w.complete {
		w.tracked.endsByClose.Store(false)
		w.tracked.answered.Add(1)
	}
	w.tracked.endRequest()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

func (w *closingWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	header := w.Header()
	if w.lastAnswers() && (w.tracked == nil || !w.tracked.furtherBegun()) {
		header.Set("Connection", "close")
	}
	if w.tracked == nil {
		return
	}
	if header.Get("Connection") == "close" {
		w.tracked.saidClose.Store(true)
	}
	if w.mayEndByClose && header.Get("Content-Length") == "" {
		w.tracked.endsByClose.Store(true)
	}
}
