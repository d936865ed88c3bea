package publication

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/platformclient"
	"berylward.example/berylward/pkg/site"
)

// putTimeout limits the duration of one call, which takes milliseconds on loopback.
const putTimeout = 10 * time.Second

// Publish publishes a generation to the stand-in platform at a loopback address: shards first, manifest last. It
// refuses a generation that processes would ignore because the platform holds a newer one. Its errors are of
// KindAddress, KindStale and KindPlatform, or a *site.Error if the manifest cannot be encoded.
func Publish(ctx context.Context, address netip.AddrPort, g RenderedGeneration, progress ProgressFunc) error {
	if !address.Addr().IsLoopback() {
		return &Error{Op: "publish", Kind: KindAddress, Err: errors.Errorf(
			"%s is not a loopback address; this command publishes to the stand-in platform only, a real configuration "+
				"service has its own tool: write the files of the folder as values of the same names, manifest last", address)}
	}
	if err := checkNewer(ctx, address, g.Manifest); err != nil {
		return err
	}
	values, err := g.values()
	if err != nil {
		return err
	}
	for i, v := range values {
		if err := put(ctx, address, v); err != nil {
			return &Error{Op: "publish", Kind: KindPlatform, Err: err}
		}
		progress(i+1, len(values))
	}
	return nil
}

// checkNewer checks that the platform holds neither a newer generation than the manifest's nor the same one with other
// content.
func checkNewer(ctx context.Context, address netip.AddrPort, m site.Manifest) error {
	client := platformclient.New(address)
	defer client.Close()
	stored, err := client.Value(ctx, site.ManifestName)
	var platformErr *platformclient.Error
	if errors.As(err, &platformErr) && platformErr.Kind == platformclient.KindNotFound {
		return nil
	}
	if err != nil {
		return &Error{Op: "publish", Kind: KindPlatform, Err: err}
	}
	current, err := site.DecodeManifest(stored.Data)
	if err != nil || m.Generation > current.Generation || m.Digest == current.Digest {
		// Every process ignores a manifest that cannot be decoded, so it may be replaced.
		return nil
	}
	return &Error{Op: "publish", Kind: KindStale, Err: errors.Errorf(
		"the platform holds generation %d, and processes ignore generation %d; render with --generation %d",
		current.Generation, m.Generation, current.Generation+1)}
}

func put(ctx context.Context, address netip.AddrPort, v namedValue) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/stand-in/values/%s", address, v.name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(v.data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return errors.Errorf("%s: %s: %s", v.name, resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
