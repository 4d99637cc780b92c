package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller sends requests to one entry.
type caller struct {
	d       *deployment
	address string
	key     string
}

func (d *deployment) caller(entry int) *caller {
	return &caller{d: d, address: net.JoinHostPort(d.entries[entry].ip, frontendPort), key: apiKey}
}

// answer is what a client has seen of the answer to one request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// events are the events of a stream.
	events []string
	// bytes is the number of bytes that arrived, with those of the header.
	bytes int
	// complete reports whether the answer ended as HTTP says it ends.
	complete bool
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// plain sends a plain request on a new connection.
func (c *caller) plain(method, path string, timeout time.Duration) *answer {
	return c.send(nil, newID(), method, path, timeout, nil, nil)
}

// streamRequest describes a stream.
type streamRequest struct {
	id, path string
	// events is the number of events that the engine makes.
	events int
	// prompt is the length of the prompt in tokens, 100 if it is 0.
	prompt int
	// most and hint are the maximum and the client's estimate of the output in tokens.
	most, hint int
	timeout    time.Duration
}

// stream requests a stream, on conn if it is not nil.
func (c *caller) stream(conn net.Conn, r streamRequest) *answer {
	prompt := r.prompt
	if prompt == 0 {
		prompt = 100
	}
	header := http.Header{}
	header.Set("X-Turmericdrum-Model", "m")
	header.Set("X-Turmericdrum-Token-Usage", fmt.Sprintf("%d,%d", prompt, r.most))
	header.Set("X-Turmericdrum-Length-Hint", strconv.Itoa(r.hint))
	header.Set("X-Turmericdrum-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%s:%d", r.id[:8], prompt-60))
	body, err := json.Marshal(map[string]int{"events": r.events})
	if err != nil {
		return &answer{id: r.id, err: err}
	}
	return c.send(conn, r.id, http.MethodPost, r.path, r.timeout, header, body)
}

func (c *caller) dial() (net.Conn, error) { return net.DialTimeout("tcp", c.address, time.Second) }

// send sends a request and reads the whole answer. It opens a connection if conn is nil.
func (c *caller) send(conn net.Conn, id, method, path string, timeout time.Duration, header http.Header, body []byte) *answer {
	a := &answer{id: id}
	if conn == nil {
		var err error
		if conn, err = c.dial(); err != nil {
			a.err = err
			return a
		}
		defer conn.Close()
	}
	r, err := http.NewRequest(method, "http://"+routeHost+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Turmericdrum-Attempt-Id", id)
	r.Header.Set("X-Turmericdrum-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.key)
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	begin := time.Now()
	if err := r.Write(conn); err != nil {
		a.err = err
		return a
	}
	counted := &countingReader{Reader: conn}
	defer func() { a.bytes = counted.n }()
	res, err := http.ReadResponse(bufio.NewReader(counted), r)
	if err != nil {
		a.err = err
		c.d.logf("client %s %s %s: no answer after %v: %v", id, method, path, time.Since(begin).Round(time.Millisecond), err)
		return a
	}
	defer res.Body.Close()
	a.status, a.header = res.StatusCode, res.Header
	a.body, a.err = io.ReadAll(res.Body)
	a.complete = a.err == nil
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.events = strings.SplitAfter(string(a.body), "\n\n")
		a.events = a.events[:len(a.events)-1]
	}
	c.d.logf("client %s %s %s: status %d, %d bytes, %d events, complete=%t, after %v, err=%v", id, method, path, a.status, len(a.body), len(a.events), a.complete,
		time.Since(begin).Round(time.Millisecond), a.err)
	return a
}

// countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	n int
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.n += n
	return n, err
}

var errNotServed = errors.New("the requests before the disruption were not served")

// routeHost is the host of all routes.
const routeHost = "ficu95.example"

// Services and API keys of the manifests.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	apiKey       = "xd9dnn2ctnfzs989anu6"
	homeKey      = "wsjnbanfqasnmgkcuyj8"
)

// newManifest returns a manifest like that of klubba-order. The tenant with homeKey may be
// served in the region mitt only.
func newManifest() map[string]any {
	route := func(name, prefix, kind, service string, timeout, target int) map[string]any {
		attempts := 1
		if kind == "idempotent" {
			attempts = 2
		}
		return map[string]any{"name": name, "host": routeHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": kind == "streaming", "stream_resume": false,
			"itl_target_ms": 180, "allowed_regions": []string{}}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{route("r-draft", "/draft/", "streaming", modelService, 39000, 1800), route("r-query", "/query/", "streaming", modelService, 6000, 1500),
			route("r-order", "/order/", "non_idempotent", plainService, 1000, 300), route("r-status", "/status/", "idempotent", plainService, 1000, 300)},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 272, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 24, "kv_capacity_tokens": 34393, "kv_bytes": 327680, "link_mbps": 47000.0, "moves": true, "backups": true,
					"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1, "allowed_regions": []string{}},
			map[string]any{"name": "vilo113", "api_keys": []string{homeKey}, "priority": 1, "allowed_regions": []string{"mitt"}}},
	}
}
