package platformtest

import "net/http"

// countBytes wraps h to count the bytes of request and response bodies.
func (s *Server) countBytes(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cw := &countingWriter{ResponseWriter: w}
		h.ServeHTTP(cw, r)
		s.mu.Lock()
		s.stats.BytesOut += cw.n
		s.stats.BytesIn += max(0, r.ContentLength)
		s.mu.Unlock()
	})
}

// countingWriter counts the bytes written to it.
type countingWriter struct {
	http.ResponseWriter
	n int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += int64(n)
	return n, err
}

// Unwrap gives http.ResponseController access to the connection.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
