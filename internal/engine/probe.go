package engine

import "context"

// Probe opens a connection and closes it. It is the only probe that works for every plain service, because each
// service defines its own paths. A failure is an Error of KindNotSent.
func (c *Client) Probe(ctx context.Context) error {
	conn, err := c.dial(ctx, "tcp", c.address.String())
	if err != nil {
		return &Error{Op: "dial", Kind: KindNotSent, Err: err}
	}
	return conn.Close()
}
