// Package engine is the client for the HTTP protocol of model engines and for calls of plain services. Its errors
// distinguish requests that are proven not to have run from those that may have run. A Client holds no state other than
// its connections and may be shared. It uses its clock only to timestamp load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/pkg/answer"
)

const (
	// maxReport is the maximum size of a JSON response in bytes, other than an exported cache.
	maxReport = 8 << 20
	// MaxCache is the maximum size of an exported cache in bytes, in JSON.
	MaxCache = 64 << 20
)

// maxProblemTime bounds the reading of the body of a refusal, which is already decided.
const maxProblemTime = time.Second

// Client calls one engine or plain service. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	http    *http.Client
	// unshared opens a connection for each request to an engine and keeps none. On a kept connection, a late or repeated
	// response to an earlier request would be taken for the answer to the next one.
	unshared *http.Client
	clock    clock.PassiveClock
	dial     dialer
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client. Its redirect policy is replaced, because following a redirect would send a
// request twice.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) { c.http = client }
}

// WithClock sets the clock that timestamps load reports.
func WithClock(clk clock.PassiveClock) Option {
	return func(c *Client) { c.clock = clk }
}

// WithDialer sets how the default HTTP client and Probe open connections.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) {
		transport := newTransport()
		transport.DialContext = dial
		c.http, c.dial = &http.Client{Transport: transport}, dial
	}
}

// WithoutKeepAlives makes every call open a new connection. A kept connection may be dead, and a call that must not be
// repeated cannot be sent again on another one. The option changes the transport of the current HTTP client, so it must
// follow WithHTTPClient or WithDialer.
func WithoutKeepAlives() Option {
	return func(c *Client) {
		if t, ok := c.http.Transport.(*http.Transport); ok {
			t.DisableKeepAlives = true
		}
	}
}

// New returns a client for the server at address.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{
		address: address, http: &http.Client{Transport: newTransport()}, clock: clock.RealClock{},
		dial: new(net.Dialer).DialContext,
	}
	for _, option := range options {
		option(c)
	}
	clientCopy := *c.http
	clientCopy.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &clientCopy
	unshared := clientCopy
	if t, ok := unshared.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		unshared.Transport = t
	}
	c.unshared = &unshared
	return c
}

// newTransport raises the limit of idle connections to the server, because with the default of 2 most requests of a
// busy sidecar would open a new connection. Proxy settings of the environment are not used.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        64,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Address returns the server's address.
func (c *Client) Address() netip.AddrPort { return c.address }

// unrewindableBody prevents net/http from replaying the body. If the body can be rewound or is absent, the transport
// sends a request with an Idempotency-Key again when a kept connection breaks. Only the caller may decide to repeat
// it.
type unrewindableBody struct{ io.Reader }

func (unrewindableBody) Close() error { return nil }

// send does one HTTP round trip with one of the HTTP clients. The error is an *Error; the response may have any status.
func (c *Client) send(ctx context.Context, client *http.Client, method, path string, header http.Header, body []byte) (*http.Response, error) {
	op := method + " " + path
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	var reader io.Reader
	if len(body) > 0 || (method != http.MethodGet && method != http.MethodHead) {
		reader = unrewindableBody{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, reader)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindNotSent, Err: err}
	}
	req.ContentLength = int64(len(body))
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(op, connected.Load(), err)
	}
	if !answer.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: errors.Errorf("status %03d is not that of an answer", resp.StatusCode)}
	}
	return resp, nil
}

// sendJSON sends a JSON request to the engine on a connection of its own and returns the response if its status is 2xx.
func (c *Client) sendJSON(ctx context.Context, method, path string, in any) (*http.Response, error) {
	op := method + " " + path
	var text []byte
	if in != nil {
		var err error
		if text, err = json.Marshal(in); err != nil {
			return nil, &Error{Op: op, Kind: KindNotSent, Err: errors.Wrap(err, "encode request")}
		}
	}
	resp, err := c.send(ctx, c.unshared, method, path, http.Header{"Content-Type": {"application/json"}}, text)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	limited, cancel := context.WithTimeout(ctx, maxProblemTime)
	defer cancel()
	defer context.AfterFunc(limited, func() { _ = resp.Body.Close() })()
	var problem ErrorResponse
	_ = json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&problem)
	return nil, &Error{Op: op, Kind: statusKind(resp.StatusCode), Status: resp.StatusCode, Err: errors.New(problem.Error)}
}

// callJSON sends a JSON request and decodes the JSON response into out, which may be nil.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	buffer := body.NewBudget(0).NewBuffer()
	return c.callJSONWithin(ctx, method, path, in, out, buffer, maxReport)
}

// callJSONWithin is callJSON with a buffer for the response and its maximum size in bytes.
func (c *Client) callJSONWithin(ctx context.Context, method, path string, in, out any, buffer *body.Buffer, limit int64) error {
	resp, err := c.sendJSON(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	op := method + " " + path
	if err := buffer.Read(resp.Body, resp.ContentLength, limit); err != nil {
		var tooLarge *body.Error
		if errors.As(err, &tooLarge) {
			return &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: err}
		}
		return transportError(op, true, err)
	}
	if err := json.Unmarshal(buffer.Bytes(), out); err != nil {
		return &Error{Op: op, Kind: KindMalformed, Status: resp.StatusCode, Err: err}
	}
	return nil
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

// Streams returns the engine's streams, including those that finished recently.
func (c *Client) Streams(ctx context.Context) (StreamList, error) {
	var list StreamList
	err := c.callJSON(ctx, http.MethodGet, "/v1/streams", nil, &list)
	return list, err
}

// CancelStream ends a stream and releases its memory. The engine answers 404 if it does not know the stream.
func (c *Client) CancelStream(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodDelete, streamPath(id), nil, nil)
}

// SuspendStream suspends a stream. Its memory stays reserved.
func (c *Client) SuspendStream(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodPut, streamPath(id), StreamChange{Suspended: new(true)}, nil)
}

// ResumeStream resumes a suspended stream.
func (c *Client) ResumeStream(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodPut, streamPath(id), StreamChange{Suspended: new(false)}, nil)
}

// SetStreamPriority changes the priority of a stream.
func (c *Client) SetStreamPriority(ctx context.Context, id string, priority int) error {
	return c.callJSON(ctx, http.MethodPut, streamPath(id), StreamChange{Priority: &priority}, nil)
}

// Load returns the engine's load report. Its figures are as old as its Age.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	if err := c.callJSON(ctx, http.MethodGet, "/v1/load", nil, &load); err != nil {
		return Load{}, err
	}
	load.Age = time.Duration(load.AgeMillis) * time.Millisecond
	load.MeasuredAt = c.clock.Now().Add(-load.Age)
	return load, nil
}

// CacheEvents returns the events with a sequence number above after that the engine still has.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.callJSON(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// ExportCache returns the KV cache of the prompt of a prefilled stream. The buffer holds the response, so that its budget bounds
// the caches that are exported at a time; the caller releases it when the cache is not needed any more.
func (c *Client) ExportCache(ctx context.Context, export ExportRequest, buffer *body.Buffer) (ExportedCache, error) {
	var cache ExportedCache
	err := c.callJSONWithin(ctx, http.MethodPost, "/v1/cache/export", export, &cache, buffer, MaxCache)
	return cache, err
}

// ImportCache stores an exported cache and returns a handle for Stream.Imports.
func (c *Client) ImportCache(ctx context.Context, cache ExportedCache) (ImportedCache, error) {
	var imported ImportedCache
	err := c.callJSON(ctx, http.MethodPost, "/v1/cache/import", cache, &imported)
	return imported, err
}

// SendOrder sends an order to the engine. An engine that supports fencing numbers answers 412 if the number is lower
// than one it has seen, which is reported as an Error of KindFenced.
func (c *Client) SendOrder(ctx context.Context, order Order) (OrderResult, error) {
	var result OrderResult
	err := c.callJSON(ctx, http.MethodPost, "/v1/orders", order, &result)
	var failure *Error
	if errors.As(err, &failure) && failure.Status == http.StatusPreconditionFailed {
		failure.Kind = KindFenced
	}
	return result, err
}

// absolutePath makes path start with exactly one slash, so that it cannot change the host.
func absolutePath(path string) string { return "/" + strings.TrimLeft(path, "/") }
