// Package source reads configuration versions and the list of instances from
// the platform. Fetcher and InstanceList read them from two separate services;
// Follower decides how to read both from one store, through a Feed. All reads
// leave the platform unchanged. Every call counts against the platform's rate
// limit; a waiting watch counts as one call.
package source

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/response"
)

// Errors returned by this package, to be tested with errors.Is.
var (
	// ErrUnavailable reports a call that failed or was rejected.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrNotFound reports a key that has no value.
	ErrNotFound = errors.New("no such key")
	// ErrMalformed reports a response that violates the protocol.
	ErrMalformed = errors.New("malformed response from the platform")
)

// RevisionHeader is the HTTP header that carries the revision of a value.
const RevisionHeader = "X-Revision"

const (
	// callTimeout bounds a call, excluding the wait of a watch.
	callTimeout = 5 * time.Second
)

// Client reads from one endpoint of the platform. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	observe    func(kind string, err error)
}

// NewClient returns a client for the endpoint with the given base URL, such as
// "http://10.0.0.1:7000". If observe is not nil, it is called after each call
// with the kind of the call and its error.
func NewClient(baseURL string, observe func(kind string, err error)) *Client {
	if observe == nil {
		observe = func(string, error) {}
	}
	transport := response.NewTransport((&net.Dialer{}).DialContext)
	transport.MaxIdleConnsPerHost = 4
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport}, observe: observe}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// Value is the data of a key with its revision.
type Value struct {
	Revision uint64
	Data     []byte
}

// Watch waits at most wait for key to reach a revision above after and returns
// that value. It returns the zero Value if there is none by then.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	v, err := c.getValue(ctx, "/v1/values/"+key+"?"+query.Encode())
	c.observe("watch", err)
	return v, err
}

// Get returns the current value of key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := c.getValue(ctx, "/v1/values/"+key)
	c.observe("get", err)
	return v, err
}

func (c *Client) getValue(ctx context.Context, path string) (Value, error) {
	resp, err := c.sendRequest(ctx, path, nil)
	if err != nil {
		return Value{}, err
	}
	defer drainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return decodeValue(resp)
	case http.StatusNoContent:
		return Value{}, nil
	case http.StatusNotFound:
		return Value{}, errors.Wrap(ErrNotFound, path)
	default:
		return Value{}, errors.Wrapf(ErrUnavailable, "%s: status %d", path, resp.StatusCode)
	}
}

func decodeValue(resp *http.Response) (Value, error) {
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrapf(ErrMalformed, "revision header: %v", err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxBlobBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if len(data) > config.MaxBlobBytes {
		return Value{}, errors.Wrap(ErrMalformed, fmt.Sprintf("value exceeds %d bytes", config.MaxBlobBytes))
	}
	return Value{Revision: revision, Data: data}, nil
}

func (c *Client) sendRequest(ctx context.Context, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return resp, nil
}

func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, config.MaxBlobBytes))
	_ = resp.Body.Close()
}
