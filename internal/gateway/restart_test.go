package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that does not serve again after all its gateways were started at the same time, because their
// reads of the store share its link, and each read that is given up begins again at its first page.
func TestRestartOfAll(t *testing.T) {
	cases := map[string]struct {
		gateways, servers, pageSize int
		// storeLink is the rate of the store's link in bytes per second.
		storeLink int
		// serving is the time within which all gateways must serve, known that within which all must know all servers.
		serving, known time.Duration
	}{
		"30 gateways":               {30, 300, 500, 125e6, time.Second, 2 * time.Second},
		"100 gateways":              {100, 1000, 500, 125e6, 2 * time.Second, 3 * time.Second},
		"100 gateways, small pages": {100, 1000, 50, 125e6, 2 * time.Second, 3 * time.Second},
		// Each round of pages takes over 2 s on the shared link, longer than a page may take at first.
		"30 gateways, slow link": {30, 1000, 500, 2e6, 8 * time.Second, 14 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := fleetOptions{
				gateways: tc.gateways, zones: 5, servers: tc.servers, storeLink: tc.storeLink, gatewayLink: 25e5, startWithin: 300 * time.Millisecond,
			}
			withFleet(t, o, func(f *fleet) {
				f.store.SetPageSize(tc.pageSize)
				began := time.Now()
				until := func(done func() bool) time.Duration {
					for !done() && time.Since(began) < 40*time.Second {
						time.Sleep(100 * time.Millisecond)
					}
					return time.Since(began)
				}
				serving := until(func() bool { return f.ready() == tc.gateways })
				known := until(func() bool { return f.knowing(tc.servers) == tc.gateways })
				t.Logf("serving after %v, all servers known after %v, %d calls to the store", serving, known, f.store.CallCount())
				assert.Check(t, serving <= tc.serving, "serving after %v", serving)
				assert.Check(t, known <= tc.known, "all servers known after %v", known)
			})
		})
	}
}
