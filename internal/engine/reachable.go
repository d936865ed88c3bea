package engine

import "context"

// Reachable opens a connection and closes it. It is the only probe that works for every plain service, because each
// service defines its own paths. A failure is an Error of KindRefused.
func (c *Client) Reachable(ctx context.Context) error {
	conn, err := c.dial(ctx, "tcp", c.address.String())
	if err != nil {
		return &Error{Op: "dial", Kind: KindRefused, Err: err}
	}
	return conn.Close()
}
