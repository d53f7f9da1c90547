package drain

import "net/http"

// responseWriter announces, as a response begins, that its connection is closed, if keep-alives are
// disabled by then.
type responseWriter struct {
	http.ResponseWriter
	conns *Conns
	begun bool
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes to the body of the response.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written. http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin sets the header at the first call.
func (w *responseWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.conns.noKeepAlives.Load() {
		w.Header().Set("Connection", "close")
	}
}
