package slugserve

import "net/http"

// responseWriter adds "Connection: close" to a response whose header is written while the
// server shuts down.
type responseWriter struct {
	http.ResponseWriter
	shuttingDown func() bool
	wroteHeader  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		if w.shuttingDown() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.writeDefaultHeader()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written, as http.ResponseController.Flush does.
func (w *responseWriter) FlushError() error {
	w.writeDefaultHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	// A flush fails only if the caller disconnected, which the next write reports.
	_ = w.FlushError()
}

func (w *responseWriter) writeDefaultHeader() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
