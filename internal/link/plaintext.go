package link

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
)

// errPlaintext is the reason for rejecting a link without TLS.
var errPlaintext = errors.New("a link without TLS is allowed only on a loopback address or with allow-plaintext")

// WithPlaintext allows links without TLS on addresses other than loopback.
func WithPlaintext() Option { return func(o *options) { o.plaintext = true } }

// allowsPlaintext reports whether a link at this address may be without TLS. An invalid address is that of an in-memory
// connection.
func (o *options) allowsPlaintext(address netip.AddrPort) bool {
	return o.plaintext || !address.IsValid() || address.Addr().Unmap().IsLoopback()
}

// localAddress returns the local address at which a request arrived. It is invalid for an in-memory connection.
func localAddress(r *http.Request) netip.AddrPort {
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}
