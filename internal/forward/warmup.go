package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxWarmUpLeft bounds the remaining warm-up time that a health response states, so that
// a wrong one does not limit a backend server for long.
const maxWarmUpLeft = time.Minute

// WarmUpLeft returns the remaining warm-up time that a health response states, 0 if the
// backend server is warm. A healthy one without the header is warm: backend servers leave
// it out then. Without a valid statement it returns errBackendReport.
func (d *Dialect) WarmUpLeft(status int, h http.Header) (time.Duration, error) {
	text := fieldValue(h, d.WarmUpHeader)
	if text == "" && status == http.StatusOK {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return 0, errors.Wrapf(errBackendReport, "%s: %q", d.WarmUpHeader, text)
	}
	return time.Duration(min(ms, float64(maxWarmUpLeft.Milliseconds())) * float64(time.Millisecond)), nil
}
