package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/internal/standin"
)

// requestsPerPoint is the number of requests at each point of the token measurement, sent by ten concurrent callers.
const requestsPerPoint = 300

// measureTokens requests answers of size tokens from a complete fleet. The CPU time includes the callers, the entry, the
// sidecars and the stand-in engines, so it is an upper bound for each of them.
func measureTokens(ctx context.Context, size int, _ time.Duration) (map[string]float64, error) {
	d, err := exampleDeclarations()
	if err != nil {
		return nil, &Error{Op: "tokens", Kind: KindSetup, Err: err}
	}
	d.WarmUp.InitialRequests, d.WarmUp.InitialTokens = 64, 400_000
	costs := standin.Costs{Step: time.Millisecond, PrefillToken: time.Nanosecond, DecodeToken: time.Nanosecond}
	f, err := demo.Start(d, demo.WithFreePorts(), demo.WithEntries(1), demo.WithEngines(2, 1),
		demo.WithEngineOptions(standin.WithCosts(costs)))
	if err != nil {
		return nil, &Error{Op: "tokens", Kind: KindSetup, Err: err}
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = f.Stop(stopCtx)
	}()
	readyCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return nil, &Error{Op: "tokens", Kind: KindSetup, Err: err}
	}
	url := "http://" + f.EntryAddresses[0].String() + "/v1/completions"
	start, cpu := time.Now(), cpuTime()
	if err := sendRequests(ctx, url, size); err != nil {
		return nil, &Error{Op: "tokens", Kind: KindSetup, Err: err}
	}
	elapsed, cpuUsed := time.Since(start), cpuTime()-cpu
	return map[string]float64{
		"whole path, CPU us by request": float64(cpuUsed.Microseconds()) / requestsPerPoint,
		"whole path, requests/s":        requestsPerPoint / elapsed.Seconds(),
	}, nil
}

func sendRequests(ctx context.Context, url string, tokens int) error {
	const callers = 10
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range requestsPerPoint / callers {
				if err := sendRequest(ctx, url, fmt.Sprintf("prompt %d of caller %d", i, c), tokens); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func sendRequest(ctx context.Context, url, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":"office-8b","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	// This workspace of the example has the highest rate for this model.
	r.Header.Set("Authorization", "Bearer cuenca-app-key")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK || w.Trailer.Get("Berylward-Outcome") != "done" {
		return fmt.Errorf("status %d: %.200s", w.StatusCode, text)
	}
	return nil
}
