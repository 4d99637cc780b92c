package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

const (
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 10 * time.Second
	// promptBytesPerToken estimates the size of prompts in tokens. Only engines have a
	// tokenizer.
	promptBytesPerToken = 4
	// prefixBlockTokens is the size of the blocks in which prompt prefixes are hashed.
	prefixBlockTokens = 16
	// maxPrefixes bounds the prefix hashes of a prompt.
	maxPrefixes = 128
)

// completionRequest has the fields of a caller's request that the entry reads. The
// engine receives the whole body.
type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	MaxTokens serving.Tokens    `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Priority  *serving.Priority `json:"priority"`
	Session   string            `json:"session"`
}

func (c *completionRequest) validate() error {
	switch {
	case c.MaxTokens < 0:
		return serving.NewError(serving.KindInvalid, "max_tokens is negative")
	case c.Priority != nil && (*c.Priority < serving.PriorityBatch || *c.Priority > serving.PriorityInteractive):
		return serving.NewError(serving.KindInvalid, "priority is not between 0 and 9")
	}
	return nil
}

// completionCall is a decoded call for a completion.
type completionCall struct {
	request *serving.Request
	// body is the body for the engine, with the canonical name of the model.
	body []byte
	// fields are the members of the JSON object in body.
	fields map[string]json.RawMessage
	// stream is whether the caller asked for a streamed answer. Engines always stream.
	stream bool
}

// bodyFor returns the body for an engine, with the name under which the engine has
// announced the model.
func (n *Engine) bodyFor(v *View, c *completionCall) []byte {
	for _, ref := range n.Models {
		if ref.Model == c.request.Model {
			return c.body
		}
	}
	for _, ref := range n.Models {
		if canonicalModel(v, ref.Model) != c.request.Model {
			continue
		}
		fields := maps.Clone(c.fields)
		fields["model"], _ = json.Marshal(ref.Model)
		if body, err := json.Marshal(fields); err == nil {
			return body
		}
	}
	return c.body
}

// prefixHashes returns the hash of each prefix of a prompt that is a multiple of the
// block size, shortest first. Engines use the same hashes in their cache events.
func prefixHashes(prompt string) []uint64 {
	const step = prefixBlockTokens * promptBytesPerToken
	var hashes []uint64
	d := xxhash.New()
	for end := step; end <= len(prompt) && len(hashes) < maxPrefixes; end += step {
		_, _ = d.WriteString(prompt[end-step : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// decodeObject decodes a body that must be exactly one JSON object in valid UTF-8.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	if !utf8.Valid(body) {
		return nil, serving.NewError(serving.KindInvalid, "the body is not valid UTF-8")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "decode request")
	}
	if fields == nil {
		return nil, serving.NewError(serving.KindInvalid, "the body is not a JSON object")
	}
	return fields, nil
}

func (e *Entry) decodeCompletion(v *View, account serving.ClientAccountID, w http.ResponseWriter, r *http.Request) (*completionCall, error) {
	b, err := readBody(w, r, e.Settings.Entry.MaxBody.Bytes, bodyTimeout)
	if err != nil {
		return nil, err
	}
	fields, err := decodeObject(b)
	if err != nil {
		return nil, err
	}
	var c completionRequest
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "decode request")
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	model, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, c.Model)
	if !ok {
		return nil, serving.NewError(serving.KindUnknownModel, "the model "+c.Model+" is not configured")
	}
	fields["model"], _ = json.Marshal(model)
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInvalid, "encode request")
	}
	request := &serving.Request{
		ID: serving.RequestID(newID()), Account: account, Model: serving.ModelID(model), Session: c.Session,
		Priority: serving.PriorityNormal, MaxTokens: c.MaxTokens,
		PromptTokens: serving.Tokens(len(c.Prompt)/promptBytesPerToken + 1),
		PrefixHashes: prefixHashes(c.Prompt),
		CallHash:     uint64(quarantine.HashCall(account, r.Method, "", r.URL.Path, b)),
		DataCentre:   e.Settings.DataCentre, Region: e.Settings.Region,
	}
	if c.Priority != nil {
		request.Priority = *c.Priority
	}
	return &completionCall{request: request, body: body, fields: fields, stream: c.Stream}, nil
}
