package forward

import (
	"net/http"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// LogPanics passes requests on and logs a panic of the handler, which then ends
// the connection without an answer.
func LogPanics(next http.Handler, logger *log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				logger.Error("panic while a request was served", "cause", v, "method", r.Method, "path", r.URL.Path, "from", r.RemoteAddr, "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
