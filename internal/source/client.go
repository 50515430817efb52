// Package source reads the platform's configuration service and its list of
// instances. Both can only be read; every call counts against the platform's
// rate, a waiting watch as one.
package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrUnavailable marks a failed or refused call.
	ErrUnavailable = errors.New("configuration source unavailable")
	// ErrNotFound marks a key without a value.
	ErrNotFound = errors.New("no such key")
	// ErrMalformed marks an answer that breaks the protocol.
	ErrMalformed = errors.New("malformed answer of the configuration source")
)

// RevisionHeader carries the revision of a value.
const RevisionHeader = "X-Revision"

const (
	callTimeout = 5 * time.Second
)

// Client reads from one endpoint of the platform. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls func(kind string, err error)
}

// NewClient returns a client of the endpoint, such as "http://10.0.0.1:7000".
// Observe is called after each call with its kind; it may be nil.
func NewClient(base string, observe func(kind string, err error)) *Client {
	if observe == nil {
		observe = func(string, error) {}
	}
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, calls: observe}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Value is a value with its revision.
type Value struct {
	Revision uint64
	Data     []byte
}

// Watch waits up to wait for a revision of key above after and returns it. It
// returns the zero Value if none came.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	v, err := c.value(ctx, "/v1/values/"+key+"?"+query.Encode())
	c.calls("watch", err)
	return v, err
}

// Get returns the value of key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := c.value(ctx, "/v1/values/"+key)
	c.calls("get", err)
	return v, err
}

func (c *Client) value(ctx context.Context, path string) (Value, error) {
	resp, err := c.call(ctx, path, nil)
	if err != nil {
		return Value{}, err
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return readValue(resp)
	case http.StatusNoContent:
		return Value{}, nil
	case http.StatusNotFound:
		return Value{}, errors.Wrap(ErrNotFound, path)
	default:
		return Value{}, errors.Wrapf(ErrUnavailable, "%s: status %d", path, resp.StatusCode)
	}
}

func readValue(resp *http.Response) (Value, error) {
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrapf(ErrMalformed, "revision: %v", err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxBlobBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if len(data) > config.MaxBlobBytes {
		return Value{}, errors.Wrap(ErrMalformed, fmt.Sprintf("value over %d bytes", config.MaxBlobBytes))
	}
	return Value{Revision: revision, Data: data}, nil
}

func (c *Client) call(ctx context.Context, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return resp, nil
}

func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, config.MaxBlobBytes))
	_ = resp.Body.Close()
}
