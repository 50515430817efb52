package forward

import (
	"net/http"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// LogPanics returns a handler that calls next and logs its panics, except for
// http.ErrAbortHandler. A panic closes the connection without a response.
func LogPanics(next http.Handler, logger *log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				logger.Error("panic in request handler", "cause", v, "method", r.Method, "path", r.URL.Path, "from", r.RemoteAddr, "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
