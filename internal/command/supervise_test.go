package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// dyingPart ends by itself and records how long its stop may take.
type dyingPart struct {
	dying chan struct{}
	left  time.Duration
}

func (p *dyingPart) Dying() <-chan struct{} { return p.dying }

func (p *dyingPart) Stop(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	p.left = time.Until(deadline)
	return ctx.Err()
}

// Guards against a stop without time because the process ran for longer than the time to stop: every request that ran
// was cut.
func TestStopTimeStartsWithTheStop(t *testing.T) {
	cases := map[string]time.Duration{"at once": 0, "within the time to stop": time.Second, "much later": time.Hour}
	for name, ran := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &dyingPart{dying: make(chan struct{})}
				go func() {
					time.Sleep(ran)
					close(p.dying)
				}()
				assert.NilError(t, superviseSignals(p, 8*time.Second, nil))
				assert.Equal(t, p.left, 8*time.Second)
			})
		})
	}
}
