package config

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against proxies that hold a version without the warm-up that it names, and
// against a changed hash of versions that name none.
func TestWarmUpOfServicesReachesOtherProxies(t *testing.T) {
	is := is.New(t)
	plain := limitedSnapshot(t, 1, 100)
	is.Equal(plain.WithServices(map[string]ServiceLimits{"desk": {HealthPath: "/healthz"}}).Root, plain.Root)
	limits := map[string]ServiceLimits{"desk": {WarmUp: Duration(3 * time.Second), WarmUpPerSecond: 14, HealthPath: "/healthz"}}
	first := plain.WithServices(limits)
	is.True(first.Root != plain.Root)
	held, err := Apply(plain, Diff(plain, first, nil), nil)
	is.NoErr(err)
	is.Equal(held.Services, limits)
	held, err = Apply(held, Diff(first, plain, nil), nil)
	is.NoErr(err)
	is.Equal(held.Services, nil)

	altered := Diff(nil, first, nil)
	altered.Services = map[string]ServiceLimits{"desk": {WarmUp: Duration(3 * time.Second), WarmUpPerSecond: 15, HealthPath: "/healthz"}}
	_, err = Apply(nil, altered, nil)
	is.True(errors.Is(err, ErrHashMismatch))
}
