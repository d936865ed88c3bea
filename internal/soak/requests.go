package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/standin/direct"
	"berylward.example/berylward/platform"
)

// sentRequest is one request of a caller and its result.
type sentRequest struct {
	gateway.CallerRequest
	routeName    string
	gateway      int
	requestBody  string
	sentAt       time.Time
	endedAt      time.Time
	response     platform.GatewayResponse
	responseBody string
	// complete is set if the response body ended without an error; abandoned, if the caller gives up after
	// abandonAfter.
	complete, abandoned bool
}

// abandonAfter is how long a caller waits for the response to a request that it abandons.
const abandonAfter = 60 * time.Millisecond

// runCaller simulates one caller, which sends requests one after another over persistent connections.
func (h *harness) runCaller(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	routeNames := []string{"book", "look", "draft", "draft", "once"}
	for ctx.Err() == nil {
		h.mu.Lock()
		key := h.activeKeys[random.IntN(len(h.activeKeys))]
		for revokedKey := range h.revokedAt {
			if random.IntN(12) == 0 {
				key = revokedKey
				break
			}
		}
		h.mu.Unlock()
		request := h.newRequest(random.IntN(len(h.gatewayProxies)), routeNames[random.IntN(len(routeNames))], key, random)
		request.abandoned = random.IntN(15) == 0
		h.send(ctx, transport, request)
		select {
		case <-ctx.Done():
		case <-h.clock.After(time.Duration(random.IntN(40*h.Callers/10+5)) * time.Millisecond):
		}
	}
}

func (h *harness) newRequest(gatewayIndex int, routeName, key string, random *rand.Rand) *sentRequest {
	request := &sentRequest{routeName: routeName, gateway: gatewayIndex, requestBody: strings.Repeat("b", random.IntN(3000)+1)}
	request.CallerRequest = gateway.CallerRequest{
		ID: fmt.Sprintf("%016x", random.Uint64()), Method: http.MethodPost, Target: "/" + routeName + "/x", Host: callerHost, Key: key,
		Timeout: time.Duration(800+random.IntN(2000)) * time.Millisecond,
	}
	if routeName == "draft" || routeName == "once" {
		tokens := int64(2000 + random.IntN(8000))
		if random.IntN(10) == 0 {
			tokens = int64(60000 + random.IntN(400000))
		}
		request.Prompt = &gateway.Prompt{Tokens: tokens, MaxOutputTokens: 400}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, request)
	return request
}

// send sends a request once and records its result.
func (h *harness) send(ctx context.Context, transport http.RoundTripper, request *sentRequest) {
	timeout := request.Timeout
	if request.abandoned {
		timeout = abandonAfter
	}
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	request.sentAt = h.clock.Now()
	defer func() { request.endedAt = h.clock.Now() }()
	address := h.gatewayProxies[request.gateway].address()
	// The transport must not retry a request, because the checks count the runs of each identifier.
	httpRequest := platform.EncodeCallerRequest(address, request.CallerRequest, []byte(request.requestBody)).WithContext(timeoutCtx)
	resp, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if request.response, err = platform.DecodeGatewayResponse(resp); err != nil {
		return
	}
	data, err := io.ReadAll(resp.Body)
	request.responseBody, request.complete = string(data), err == nil
}

// expectedBody returns the complete body of the response to the request.
func (r *sentRequest) expectedBody(events int) string {
	if r.routeName == "book" || r.routeName == "look" {
		return direct.Body(r.ID)
	}
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(direct.Event(r.ID, n))
	}
	return b.String()
}
