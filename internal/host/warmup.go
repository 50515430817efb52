package host

import (
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/response"
)

const (
	// warmUpCheckTimeout bounds a health check for the warm-up, which may wait for a
	// slot of the backend server. Requests there take up to a second while it is cold.
	warmUpCheckTimeout = 2 * time.Second
	// maxHealthBody bounds the part of a health response that is read so that its
	// connection can be used again.
	maxHealthBody = 4 << 10
)

// checkWarmUp asks the backend server how long it is still cold. A failure is logged
// once, until the result of the checks changes.
func (h *Host) checkWarmUp(path string) admission.WarmUpChecked {
	result, failure := h.readWarmUp("http://" + h.settings.BackendServer.Address + path)
	if h.ctx.Err() != nil {
		return result
	}
	last := h.warmUpFailure.Swap(&failure)
	switch {
	case last != nil && *last == failure:
	case failure != "":
		h.log.Warn("warm-up check failed", "path", path, "cause", failure)
	case last != nil:
		h.log.Info("warm-up check answered", "path", path)
	}
	return result
}

// readWarmUp makes one health check. Failure is empty if the response states the
// remaining time.
func (h *Host) readWarmUp(url string) (result admission.WarmUpChecked, failure string) {
	client := &http.Client{Timeout: warmUpCheckTimeout, Transport: h.warmUpTransport}
	resp, err := h.get(client, url)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return admission.WarmUpChecked{Refused: true}, "connection refused"
	case errors.Is(err, response.ErrMalformed):
		return admission.WarmUpChecked{}, "malformed response"
	case err != nil:
		return admission.WarmUpChecked{}, "no response"
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody)) // only the header matters
	left, err := h.dialect.WarmUpLeft(resp.StatusCode, resp.Header)
	if err != nil {
		return admission.WarmUpChecked{}, "status " + strconv.Itoa(resp.StatusCode) + ": " + err.Error()
	}
	return admission.WarmUpChecked{Left: left, Stated: true}, ""
}

// logWarmUp logs that the backend server has become cold or warm.
func (h *Host) logWarmUp(e admission.WarmUpChanged) {
	state := "warm"
	if e.Cold {
		state = "cold"
	}
	h.log.Info("warm-up", "instance", e.Instance, "state", state, "source", e.Source, "left_ms", e.Left.Milliseconds(), "per_second", e.PerSecond)
}
