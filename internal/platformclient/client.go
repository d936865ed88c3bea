// Package platformclient is the client for the platform's configuration service and instance list. Both can only be
// read and watched. Every call counts against a rate limit that all readers share. A Client holds only its connections
// and a count of its calls, and may be shared.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBody is the maximum size of a response in bytes. A value of 1 MB takes 4/3 MB in base64, and the
	// instance list of 1,600 processes is smaller.
	maxResponseBody = 4 << 20
	// readTimeout bounds a read, and the time that a watch takes beyond its wait. The service answers in
	// milliseconds.
	readTimeout = 5 * time.Second
)

// Client reads the configuration service and the instance list. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	http    *http.Client
	calls   atomic.Uint64
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) { c.http = client }
}

// WithDialer sets how the default HTTP client opens connections.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) {
		transport := newTransport()
		transport.DialContext = dial
		c.http = &http.Client{Transport: transport}
	}
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
}

// New returns a client for the platform at address.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{address: address, http: &http.Client{Transport: newTransport()}}
	for _, option := range options {
		option(c)
	}
	return c
}

// CallCount returns the number of calls made so far, for expvar.
func (c *Client) CallCount() uint64 { return c.calls.Load() }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Value returns the current value of a name. If the name has no value, the error is an Error of KindNotFound.
func (c *Client) Value(ctx context.Context, name string) (Value, error) {
	var value Value
	_, err := c.get(ctx, "/v1/values/"+url.PathEscape(name), 0, &value)
	return value, err
}

// WatchValue waits until the version of a value differs from after, for at most wait. It returns false if nothing
// changed. The new version can be lower than after if the service serves stale data; the caller must handle this.
func (c *Client) WatchValue(ctx context.Context, name string, after uint64, wait time.Duration) (Value, bool, error) {
	var value Value
	changed, err := c.get(ctx, "/v1/values/"+url.PathEscape(name)+watchQuery(after, wait), wait, &value)
	return value, changed, err
}

// Instances returns the instance list, which lags behind the actual instances.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	_, err := c.get(ctx, "/v1/instances", 0, &list)
	return list, err
}

// WatchInstances waits until the version of the list differs from after, for at most wait. It returns false if
// nothing changed.
func (c *Client) WatchInstances(ctx context.Context, after uint64, wait time.Duration) (InstanceList, bool, error) {
	var list InstanceList
	changed, err := c.get(ctx, "/v1/instances"+watchQuery(after, wait), wait, &list)
	return list, changed, err
}

func watchQuery(after uint64, wait time.Duration) string {
	return "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
}

// get reads a JSON response into out. It returns false if a watch ended without a change.
func (c *Client) get(ctx context.Context, path string, wait time.Duration, out any) (bool, error) {
	c.calls.Add(1)
	op := "GET " + path
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address.String()+path, nil)
	if err != nil {
		return false, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, transportError(op, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	switch {
	case err != nil:
		return false, transportError(op, err)
	case resp.StatusCode == http.StatusNotModified:
		return false, nil
	case resp.StatusCode != http.StatusOK:
		return false, &Error{Op: op, Kind: statusKind(resp.StatusCode), Status: resp.StatusCode,
			Err: fmt.Errorf("%.200s", body)}
	case len(body) > maxResponseBody:
		return false, &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: errors.New("response body too large")}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return false, &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: err}
	}
	return true, nil
}
