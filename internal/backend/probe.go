package backend

import (
	"context"
	"net/netip"
)

// Accepts reports whether a new connection to an address can be opened, or could be if this process had a descriptor left. It
// blocks until the connection is opened, which is then closed again, or fails.
func (p *Pool) Accepts(ctx context.Context, address netip.AddrPort) bool {
	err := p.probe(ctx, address)
	return err == nil || lacksDescriptors(err)
}

func (p *Pool) probe(ctx context.Context, address netip.AddrPort) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}
