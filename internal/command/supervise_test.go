package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stoppingComponent ends by itself and records the time from the call of Stop to its deadline.
type stoppingComponent struct {
	dying     chan struct{}
	remaining time.Duration
}

func (c *stoppingComponent) Dying() <-chan struct{} { return c.dying }

func (c *stoppingComponent) Stop(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	c.remaining = time.Until(deadline)
	return ctx.Err()
}

// Guards against a stop timeout that counts from the start of the process: after a longer run there was no time left
// for a graceful stop, and every running request was cut.
func TestStopTimeoutStartsAtSignal(t *testing.T) {
	cases := map[string]time.Duration{"at once": 0, "within the stop timeout": time.Second, "much later": time.Hour}
	for name, uptime := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &stoppingComponent{dying: make(chan struct{})}
				go func() {
					time.Sleep(uptime)
					close(c.dying)
				}()
				assert.NilError(t, superviseSignals(c, 8*time.Second, nil))
				assert.Equal(t, c.remaining, 8*time.Second)
			})
		})
	}
}
