package platformclient_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/internal/standin"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:1")

func instance(name string) platformclient.Instance {
	return platformclient.Instance{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.2:7001"), Zone: "el-centro", Region: "azuay",
		Role: platformclient.RoleSidecar, Models: []string{"model"},
	}
}

// withPlatform runs fn in a synctest bubble with a stand-in platform on an in-memory listener.
func withPlatform(t *testing.T, fn func(*testing.T, *standin.Platform, *platformclient.Client, *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		listener := standin.NewMemoryListener(loopback)
		p, err := standin.StartPlatform(standin.WithListener(listener), standin.WithRate(100),
			standin.WithInstances(2*time.Second, instance("first")))
		assert.NilError(t, err)
		httpClient := listener.Client()
		client := platformclient.New(loopback, platformclient.WithHTTPClient(httpClient))
		defer func() {
			client.Close()
			assert.NilError(t, p.Stop())
		}()
		fn(t, p, client, httpClient)
	})
}

func errorKind(err error) platformclient.ErrorKind {
	var failure *platformclient.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// Guards against a watch that returns too early, too late or never, and against calls that are not counted.
func TestWatch(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *standin.Platform, client *platformclient.Client, httpClient *http.Client) {
		_, err := client.Value(t.Context(), "site/base")
		assert.Equal(t, errorKind(err), platformclient.KindNotFound)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut,
			"http://"+loopback.String()+"/stand-in/values/site%2Fbase", bytes.NewReader([]byte("one")))
		assert.NilError(t, err)
		resp, err := httpClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		value, err := client.Value(t.Context(), "site/base")
		assert.NilError(t, err)
		assert.DeepEqual(t, value, platformclient.Value{Name: "site/base", Version: 1, Data: []byte("one")})

		start := time.Now()
		_, changed, err := client.WatchValue(t.Context(), "site/base", 1, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, changed, false)
		assert.Equal(t, time.Since(start), 10*time.Second)
		_, changed, err = client.WatchValue(t.Context(), "site/base", 1, time.Hour)
		assert.NilError(t, err)
		assert.Equal(t, changed, false)
		assert.Equal(t, time.Since(start), 70*time.Second, "the platform bounds the wait")

		go func() {
			time.Sleep(3 * time.Second)
			_, err := p.Publish("site/base", []byte("two"))
			assert.Check(t, err == nil)
		}()
		value, changed, err = client.WatchValue(t.Context(), "site/base", 1, 10*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, value.Version, uint64(2))
		assert.Equal(t, time.Since(start), 73*time.Second)
		assert.Equal(t, client.CallCount(), uint64(5))
		assert.DeepEqual(t, p.Calls(), standin.Calls{Answered: 5})

		_, err = p.Publish("large", make([]byte, 1<<20+1))
		assert.ErrorContains(t, err, "size")
	})
}

// Guards against a stand-in platform that publishes the instance list without its delay, and against a change of the
// list that does not end a watch.
func TestInstances(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *standin.Platform, client *platformclient.Client, _ *http.Client) {
		list, err := client.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, list.Instances[0].Address, instance("first").Address)
		p.PublishInstances(instance("first"), instance("second"))
		list, err = client.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Instances), 1)
		start := time.Now()
		list, changed, err := client.WatchInstances(t.Context(), list.Version, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, len(list.Instances), 2)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// Guards against readers that exceed the shared rate limit without being refused.
func TestRateLimit(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *standin.Platform, client *platformclient.Client, _ *http.Client) {
		refused := 0
		for range 200 {
			if _, err := client.Instances(t.Context()); err != nil {
				assert.Equal(t, errorKind(err), platformclient.KindRateLimited)
				refused++
			}
			time.Sleep(5 * time.Millisecond)
		}
		// The last of 200 calls comes after 995 ms. In this time the limit allows 99 calls in addition to the burst
		// of 10.
		assert.Equal(t, refused, 91)
		assert.DeepEqual(t, p.Calls(), standin.Calls{Answered: 109, Refused: 91})
	})
}

// Guards against a fault of the stand-in platform that does not cause its failure in the client.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		fault   standin.Fault
		kind    platformclient.ErrorKind
		version uint64
		latency time.Duration
	}{
		"none":        {fault: standin.ClearFaults{}, version: 2},
		"unreachable": {fault: standin.Unreachable{On: true}, kind: platformclient.KindUnavailable},
		"crash":       {fault: standin.Crash{}, kind: platformclient.KindUnavailable},
		"stale":       {fault: standin.Stale{On: true}, version: 1},
		"slow":        {fault: standin.Delay{Duration: 3 * time.Second}, version: 2, latency: 3 * time.Second},
		"too slow":    {fault: standin.Delay{Duration: time.Minute}, kind: platformclient.KindTimeout, latency: 5 * time.Second},
		"freeze":      {fault: standin.Freeze{}, kind: platformclient.KindTimeout, latency: 5 * time.Second},
		"silence":     {fault: standin.SilenceConns{}, kind: platformclient.KindTimeout, latency: 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withPlatform(t, func(t *testing.T, p *standin.Platform, client *platformclient.Client, _ *http.Client) {
				_, err := p.Publish("v", nil)
				assert.NilError(t, err)
				_, err = client.Value(t.Context(), "v")
				assert.NilError(t, err)
				assert.NilError(t, p.Inject(tc.fault))
				_, err = p.Publish("v", nil)
				assert.NilError(t, err)
				synctest.Wait()
				start := time.Now()
				value, err := client.Value(t.Context(), "v")
				assert.Equal(t, errorKind(err), tc.kind)
				assert.Equal(t, value.Version, tc.version)
				assert.Equal(t, time.Since(start), tc.latency)
				assert.NilError(t, p.Inject(standin.ClearFaults{}))
				synctest.Wait()
				value, err = client.Value(t.Context(), "v")
				assert.NilError(t, err, "the fault was cleared")
				assert.Equal(t, value.Version, uint64(2))
			})
		})
	}
}
