package link

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Reserve requests a lease on a sidecar's memory for one member of a group, which runs a prompt too large for the
// memory of one engine. It is answered by Reserved or Refused.
type Reserve struct {
	ID          ID            `cbor:"id"`
	Remaining   time.Duration `cbor:"remaining"`
	Workspace   string        `cbor:"workspace"`
	Fingerprint []byte        `cbor:"fingerprint"`
	// Tokens is the size of the member's segment, plus the size of the answer for the last member.
	Tokens int64 `cbor:"tokens"`
}

// Reserved confirms that the member's memory is reserved for Lease, counted from the arrival of Reserve or Renew.
type Reserved struct {
	ID    ID            `cbor:"id"`
	Lease time.Duration `cbor:"lease"`
	// Received counts the Segment and FetchCaches messages that the member has received, so that a message lost with
	// its link is sent again.
	Received int `cbor:"orders"`
}

// Renew requests a new lease for a member. It is answered by Reserved, or by Failed if the lease has ended.
type Renew struct {
	ID ID `cbor:"id"`
}

// Segment starts the prefill of a member's segment, which is the text of Prompt. If Readers is set, it is answered by
// Prefilled. Otherwise the member is the last one and answers the whole prompt with Piece and End.
type Segment struct {
	ID        ID                `cbor:"id"`
	Remaining time.Duration     `cbor:"remaining"`
	Priority  int               `cbor:"priority"`
	Prompt    PromptBody        `cbor:"prompt"`
	Readers   int               `cbor:"readers"`
	Trace     map[string]string `cbor:"trace,omitempty"`
}

// Prefilled reports that the cache of a segment can be fetched. Each of Tokens authorizes one fetch.
type Prefilled struct {
	ID     ID       `cbor:"id"`
	Tokens []string `cbor:"tokens"`
}

// FetchCaches asks a member to fetch the caches of the preceding segments, in the order of the prompt.
type FetchCaches struct {
	ID      ID            `cbor:"id"`
	Sources []CacheSource `cbor:"sources"`
}

// CacheSource identifies the sidecar that holds the cache of a segment. Token authorizes one fetch.
type CacheSource struct {
	Address netip.AddrPort `cbor:"address"`
	Token   string         `cbor:"token"`
}

// CachesFetched answers a FetchCaches. Missing is the number, from 1, of the source whose cache could not be fetched.
// Zero means that the member has all caches.
type CachesFetched struct {
	ID      ID  `cbor:"id"`
	Missing int `cbor:"missing,omitempty"`
}

func (*Reserve) message()       {}
func (*Reserved) message()      {}
func (*Renew) message()         {}
func (*Segment) message()       {}
func (*Prefilled) message()     {}
func (*FetchCaches) message()   {}
func (*CachesFetched) message() {}

// CachePath is the HTTP path at which a sidecar serves the cache of a segment. It uses the listener of the links, with
// the same certificate checks. It does not use the frames of a link, because a large cache would delay heartbeats.
const CachePath = "/cache"

// FetchCache requests the cache that a source holds and returns its body, which the caller must close. It takes the
// same options as Dial, and like Dial it sends the token of the source only over TLS, unless plaintext is allowed. The error has
// KindDial if the source was not reached, and KindRefused if it answered with another status than 200.
func FetchCache(ctx context.Context, source CacheSource, opts ...Option) (io.ReadCloser, error) {
	o := newOptions(opts)
	scheme := "http"
	if o.scheme == "wss" {
		scheme = "https"
	} else if !o.allowsPlaintext(source.Address) {
		return nil, &Error{Op: "fetch cache", Kind: KindDial, Err: errPlaintext}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+source.Address.String()+CachePath, nil)
	if err != nil {
		return nil, &Error{Op: "fetch cache", Kind: KindDial, Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+source.Token)
	response, err := o.client.Do(request)
	if err != nil {
		return nil, &Error{Op: "fetch cache", Kind: KindDial, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &Error{Op: "fetch cache", Kind: KindRefused, Err: errors.Errorf("status %d", response.StatusCode)}
	}
	return response.Body, nil
}
