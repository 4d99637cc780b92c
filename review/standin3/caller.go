package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller has got.
type answer struct {
	status int
	seal   string
	body   string
	// whole reports whether the answer ended as a complete one.
	whole bool
	err   error
}

// send sends one request on a new connection and reads the answer. events is the length of a
// stream, 0 for a plain request.
func send(frontend, method, path, id string, events int, timeout time.Duration) answer {
	c, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Turmericdrum-Attempt-Id: %s\r\nX-Turmericdrum-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, routeHost, id, timeout.Milliseconds(), apiKey)
	if events > 0 {
		fmt.Fprintf(&b, "X-Turmericdrum-Model: m\r\nX-Turmericdrum-Token-Usage: 300,%d\r\nX-Turmericdrum-Length-Hint: %d\r\nX-Turmericdrum-Prompt-Prefix: 5c1e07a2:80,%x:220\r\n",
			events*tokensPerEvent, events*tokensPerEvent, hashOf(id))
	}
	body := ""
	if method == http.MethodPost {
		body = `{"prompt":"` + id + `"}`
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, seal: res.Header.Get("X-Turmericdrum-Response-Seal"), body: string(text), whole: err == nil, err: err}
}

func hashOf(id string) uint32 {
	n := uint32(17)
	for _, c := range id {
		n = n*31 + uint32(c)
	}
	return n
}
