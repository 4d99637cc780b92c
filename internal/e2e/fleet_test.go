package e2e

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	clusterKey  = "cluster-key"
	operatorKey = "operator-key"
	callerKey   = "caller-key"
)

// buildPrograms builds the programs once for all tests.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "turmericdrum-e2e")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if dir, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(status)
}

// process is a started program.
type process struct {
	name    string
	cmd     *exec.Cmd
	address string
	exited  chan struct{}
	logPath string
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// fleet is the set of processes of one test.
type fleet struct {
	t        *testing.T
	programs string
	dir      string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	programs, err := buildPrograms()
	assert.NilError(t, err)
	return &fleet{t: t, programs: programs, dir: t.TempDir()}
}

// nextPort counts the ports that freeAddress tried. All are below the range of ephemeral
// ports, because an outgoing connection could otherwise occupy a port before its process
// listens. The process id shifts the first port, so that test binaries that run at the
// same time use different ports.
var nextPort atomic.Uint32

// freeAddress returns a loopback address on which no process listened at the time of
// the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	const first, count = 12_000, 20_000
	for range count {
		n := (nextPort.Add(1) + uint32(os.Getpid())*97) % count
		address := fmt.Sprintf("127.0.0.1:%d", first+n)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// start runs a program until the test ends. The end of its log is printed if the test
// fails.
func (f *fleet) start(name, address, program string, args ...string) *process {
	f.t.Helper()
	logPath := filepath.Join(f.dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(filepath.Join(f.programs, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	assert.NilError(f.t, cmd.Start())
	p := &process{name: name, cmd: cmd, address: address, exited: make(chan struct{}), logPath: logPath}
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if f.t.Failed() {
			b, _ := os.ReadFile(logPath)
			f.t.Logf("log of %s:\n%s", name, tail(b, 4000))
		}
	})
	return p
}

func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

func (f *fleet) writeSettings(name string, s *settings.Settings) string {
	f.t.Helper()
	b, err := yaml.Marshal(s)
	assert.NilError(f.t, err)
	path := filepath.Join(f.dir, name+".yaml")
	assert.NilError(f.t, os.WriteFile(path, b, 0o600))
	return path
}

func (f *fleet) entrySettings(name, address string, control []string, peers ...string) *settings.Settings {
	s := &settings.Settings{
		Host: serving.HostID(name), DataCentre: "dc-a", Region: "region-a",
		Listen: settings.Address(address), ClusterKey: clusterKey,
		Entry: &settings.Entry{},
	}
	for _, c := range control {
		s.Entry.Control = append(s.Entry.Control, settings.Address(c))
	}
	for _, p := range peers {
		s.Entry.Peers = append(s.Entry.Peers, settings.Address(p))
	}
	s.Entry.DrainNotice.Duration = 200 * time.Millisecond
	return s
}

func hexHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// eventually waits until check succeeds, and fails the test after limit.
func eventually(t *testing.T, description string, limit time.Duration, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %v", description, limit, err)
		}
		time.Sleep(20 * time.Millisecond) // Separate processes have no virtual clock.
	}
}

// checkReady returns nil if a process reports that it accepts new work.
func checkReady(address string) error {
	res, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// bearerTransport is an HTTP transport that sends its value as the bearer token.
type bearerTransport string

func (k bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(k))
	return http.DefaultTransport.RoundTrip(r)
}

// operator returns a client for the operators' API of one control replica.
func operator(address string) schema.Operators {
	return schema.NewOperatorsProtobufClient("http://"+address, &http.Client{Transport: bearerTransport(operatorKey), Timeout: 10 * time.Second})
}

// answer is the response that a caller received.
type answer struct {
	status int
	frames []generation.Frame
	// ids are the ids of the events, which serve as resume tokens.
	ids  []string
	done bool
	// err is the data of the error event of a stream.
	err string
	// body is the body of an answer that is not a stream.
	body string
}

// complete sends a completion request and reads the entire answer.
func complete(ctx context.Context, address, key string, fields map[string]any) (*answer, error) {
	body, _ := json.Marshal(fields)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	return readAnswer(r)
}

func readAnswer(r *http.Request) (*answer, error) {
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	a := &answer{status: res.StatusCode}
	if res.Header.Get("Content-Type") != "text/event-stream" {
		b, err := io.ReadAll(res.Body)
		a.body = string(b)
		return a, err
	}
	return a, a.readEvents(res.Body)
}

func (a *answer) readEvents(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	isError := false
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.ids = append(a.ids, id)
		}
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			a.done = true
		case isError:
			a.err = data
		default:
			var f generation.Frame
			if err := json.Unmarshal([]byte(data), &f); err != nil {
				return err
			}
			a.frames = append(a.frames, f)
		}
	}
	return scanner.Err()
}

// checkComplete checks that an answer has each token once, in order, from one generation.
func (a *answer) checkComplete(length int) error {
	if a.status != http.StatusOK || !a.done {
		return fmt.Errorf("status %d, done %v, error %q, body %q", a.status, a.done, a.err, a.body)
	}
	if len(a.frames) != length {
		return fmt.Errorf("%d tokens instead of %d", len(a.frames), length)
	}
	for i, f := range a.frames {
		if int(f.Index) != i || f.GenerationID != a.frames[0].GenerationID || f.RequestID != a.frames[0].RequestID {
			return fmt.Errorf("frame %d is %+v", i, f)
		}
	}
	return nil
}

func keyHash(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// run runs the turmericdrum program with args until it exits, and returns its output.
func (f *fleet) run(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(f.programs, "turmericdrum"), args...).CombinedOutput()
	return string(out), err
}

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }
