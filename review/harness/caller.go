//go:build review

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a requester.
type call struct {
	id, method, path string
	gateway          *gatewayProcess
	limit            time.Duration
	headers          []string
	body             []byte

	sent, ended time.Time
	status      int
	seal        string
	answer      string
	// complete is set if the whole answer arrived; expired if the requester's time limit passed first.
	complete, expired bool
	cause             string
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends the request on a new channel and reads the answer. It returns when the answer is complete, the channel has
// ended or the time limit has passed.
func (c *call) send(rec *record) {
	c.id = newID()
	conn, err := net.DialTimeout("tcp", c.gateway.front.String(), time.Second)
	if err != nil {
		c.ended, c.cause = time.Now(), "no channel: "+err.Error()
		rec.add("requester: %s %s to %s: %s", c.id, c.path, c.gateway.name, c.cause)
		return
	}
	defer conn.Close()
	c.exchange(rec, conn, bufio.NewReader(conn))
}

func (c *call) exchange(rec *record, conn net.Conn, reader *bufio.Reader) {
	deadline := time.Now().Add(c.limit)
	_ = conn.SetDeadline(deadline)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", c.method, c.path, callerHost, c.id, c.limit.Milliseconds(), callerKey)
	for _, h := range c.headers {
		head.WriteString(h + "\r\n")
	}
	if c.method == "POST" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n")
	_, err := io.WriteString(conn, head.String())
	if err == nil && len(c.body) > 0 {
		_, err = conn.Write(c.body)
	}
	c.sent = time.Now()
	rec.add("requester: %s %s %s sent to %s, whole", c.id, c.method, c.path, c.gateway.name)
	if err == nil {
		err = c.read(reader)
	}
	c.ended = time.Now()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.expired = true
	}
	switch {
	case err == nil:
		c.complete, c.cause = true, "complete"
	case c.expired:
		c.cause = "time limit passed"
	default:
		c.cause = "channel ended: " + err.Error()
	}
	rec.add("requester: %s gets status %d, seal %q, %d bytes, %s", c.id, c.status, c.seal, len(c.answer), c.cause)
}

func (c *call) read(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	c.status, c.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	body, err := io.ReadAll(resp.Body)
	c.answer = string(body)
	return err
}
