package replica

import (
	"testing"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
)

// Guards against a replica that takes a malformed answer of another one, and keeps its connection.
func TestClientsOfReplicaRefuseMalformedAnswers(t *testing.T) {
	t.Run("messages", func(t *testing.T) { answertest.CheckClient(t, NewHTTPTransport().Client) })
	t.Run("bootstrap", func(t *testing.T) { answertest.CheckClient(t, (&Node{}).client()) })
}
