package entry

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 10 * time.Second
	// promptBytesPerToken estimates prompt sizes; only engines have a tokenizer.
	promptBytesPerToken = 4
)

// completionRequest is the part of a caller's request that the entry reads; the
// engine gets the whole body.
type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	MaxTokens serving.Tokens    `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Priority  *serving.Priority `json:"priority"`
	Session   string            `json:"session"`
}

func (c *completionRequest) check() error {
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
	// body is what the engine gets.
	body   []byte
	stream bool
}

// decodeObject decodes exactly one JSON object of valid UTF-8.
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
	if err := c.check(); err != nil {
		return nil, err
	}
	model, ok := v.resolve(schema.ObjectKind_OBJECT_KIND_MODEL, c.Model)
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
		DataCentre:   e.Settings.DataCentre, Region: e.Settings.Region,
	}
	if c.Priority != nil {
		request.Priority = *c.Priority
	}
	return &completionCall{request: request, body: body, stream: c.Stream}, nil
}
