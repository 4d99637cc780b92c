package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client with one connection, which it keeps for its requests.
type client struct {
	*record
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// requests counts the answered requests on the connection.
	requests int
}

var lastRequest atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2000000+uint64(lastRequest.Add(1))) }

// connect opens the connection unless it is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.requests = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// result is what a client got.
type result struct {
	id string
	// kept is set if the connection had been used for a request before.
	kept bool
	// sent is set if the whole request was written, begun if a part of an answer has come.
	sent, begun bool
	status      int
	sealed      bool
	body        string
	// complete is set if the answer was whole.
	complete bool
	err      error
}

// send sends a request, reads the answer and records both.
func (c *client) send(method, path, body string, deadline time.Duration, header map[string]string, onEvent func(string)) *result {
	out := c.exchange(method, path, body, deadline, header, onEvent)
	c.note("client: %s %s %s, kept connection %v, sent %v: status %d, sealed %v, whole %v, %v", out.id, method, path, out.kept, out.sent, out.status, out.sealed, out.complete, out.err)
	return out
}

func (c *client) exchange(method, path, body string, deadline time.Duration, header map[string]string, onEvent func(string)) *result {
	out := &result{id: newID()}
	if out.err = c.connect(); out.err != nil {
		return out
	}
	out.kept = c.requests > 0
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Turmericdrum-Attempt-Id: %s\r\nX-Turmericdrum-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, hostName, out.id,
		deadline.Milliseconds(), apiKey)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, out.err = io.WriteString(c.conn, b.String()); out.err != nil {
		c.close()
		return out
	}
	out.sent = true
	_, err := c.reader.Peek(1)
	if err != nil {
		out.err = err
		c.close()
		return out
	}
	out.begun = true
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		out.err = err
		c.close()
		return out
	}
	out.status, out.sealed = res.StatusCode, res.Header.Get("X-Turmericdrum-Response-Seal") == seal(out.id)
	if onEvent != nil && res.StatusCode == http.StatusOK {
		out.err = readEvents(res.Body, onEvent)
	} else {
		var answer []byte
		answer, out.err = io.ReadAll(res.Body)
		out.body = string(answer)
	}
	_ = res.Body.Close()
	out.complete = out.err == nil
	c.requests++
	if out.err != nil || res.Close {
		c.close()
	}
	return out
}

// readEvents calls f with each event of a stream. The result is nil at its regular end.
func readEvents(r io.Reader, f func(string)) error {
	br := bufio.NewReader(r)
	var b strings.Builder
	for {
		text, err := br.ReadString('\n')
		if err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		b.WriteString(text)
		if text == "\n" {
			f(b.String())
			b.Reset()
		}
	}
}
