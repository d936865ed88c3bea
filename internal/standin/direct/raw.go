package direct

import (
	"io"
	"net/http"
	"strings"

	"berylward.example/berylward/platform"
)

// answerRaw takes over the connection and writes a response whose head is cut, whose body ends with the connection, or whose status
// net/http would not write.
func (b *Backend) answerRaw(w http.ResponseWriter, r *http.Request, request platform.BackendRequest, fault ServerFault) bool {
	if !b.waitStep(r) {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	lines := []string{"HTTP/1.1 200 OK"}
	if status, ok := fault.(StatusText); ok {
		lines[0] = "HTTP/1.1 " + status.Text
	}
	for name, values := range w.Header() {
		lines = append(lines, name+": "+values[0])
	}
	if cut, ok := fault.(CutsHead); ok {
		_, _ = io.WriteString(conn, strings.Join(lines[:min(cut.Lines, len(lines))], "\r\n")+"\r\n")
		return true
	}
	body := Body(request.ID)
	if b.Events > 0 {
		body = ""
		for n := int(request.ResumeAfter) + 1; n <= b.Events; n++ {
			body += Event(request.ID, n)
		}
	}
	if fault == (ServerFault(Unframed{Cut: true})) {
		body = body[:len(body)-3]
	}
	_, err = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\nConnection: close\r\n\r\n"+body)
	// Unlike TCP, a pipe whose other side is closed accepts no read deadline, so it stays open until the caller waits.
	b.clock.Sleep(b.StepTime)
	return err == nil
}

// endlessPart is the size in bytes of each write of a body without end.
const endlessPart = 16 << 10

// writeEndless writes a response until the connection is closed.
func writeEndless(w http.ResponseWriter, fault Endless) bool {
	out := io.Writer(w)
	if fault.Unframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		head := &http.Response{StatusCode: fault.Status, ProtoMajor: 1, ProtoMinor: 1, Header: w.Header(), ContentLength: -1, Close: true, Body: http.NoBody}
		var text strings.Builder
		if head.Write(&text) != nil {
			return false
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return false
		}
		out = conn
	} else {
		w.WriteHeader(fault.Status)
	}
	part := []byte(strings.Repeat("x", endlessPart))
	for {
		if _, err := out.Write(part); err != nil {
			return false
		}
	}
}
