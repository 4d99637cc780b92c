package answer_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/answer/answertest"
)

// Guards against a malformed answer that a client of the standard library takes, and against a
// connection that is kept after it.
func TestTransport(t *testing.T) {
	client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{}}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	answertest.CheckClient(t, client)
}

// Guards against a sound connection that is not kept, and against an error of the connection that is
// taken for a malformed answer.
func TestTransportOfSoundAnswers(t *testing.T) {
	s := answertest.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", func(r *http.Request) bool { return r.URL.Path == answertest.RawPath })
	client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{}}, Timeout: time.Second}
	for range 3 {
		res, err := client.Get("http://" + s.Address + "/sound")
		assert.NilError(t, err)
		b, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, string(b), "ok")
	}
	assert.Equal(t, s.Connections.Load(), int32(1))
	_, err := client.Get("http://" + s.Address + answertest.RawPath) //nolint:bodyclose // There is no answer.
	assert.Assert(t, err != nil && !answer.IsMalformed(err), "%v", err)
	client.CloseIdleConnections()
	_, err = client.Get("http://127.0.0.1:1/x") //nolint:bodyclose // There is no answer.
	assert.Assert(t, err != nil && !answer.IsMalformed(err), "%v", err)
}
