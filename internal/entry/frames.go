package entry

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxIndexDigits keeps a token index within 64 bits.
const maxIndexDigits = 18

var (
	tokenField  = []byte(`,"token":"`)
	finishField = []byte(`,"finish_reason":"`)
)

// frameParser decodes the frames of one generation. A frame of that generation
// in the canonical encoding is decoded without a JSON decoder, which halves the
// cost of a token; any other frame goes through encoding/json.
type frameParser struct {
	request    serving.RequestID
	generation serving.GenerationID
	prefix     []byte
}

func newFrameParser(request serving.RequestID, id serving.GenerationID) frameParser {
	r, _ := json.Marshal(request)
	g, _ := json.Marshal(id)
	prefix := []byte(`{"request_id":` + string(r) + `,"generation_id":` + string(g) + `,"index":`)
	return frameParser{request: request, generation: id, prefix: prefix}
}

func (p *frameParser) parse(data []byte) (generation.Frame, error) {
	if f, ok := p.canonical(data); ok {
		return f, nil
	}
	var f generation.Frame
	err := json.Unmarshal(data, &f)
	return f, err
}

// canonical decodes the encoding that encoding/json gives to a frame whose
// strings need no escapes.
func (p *frameParser) canonical(data []byte) (generation.Frame, bool) {
	f := generation.Frame{RequestID: p.request, GenerationID: p.generation}
	rest, ok := bytes.CutPrefix(data, p.prefix)
	if !ok {
		return f, false
	}
	digits := 0
	for digits < len(rest) && digits < maxIndexDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		f.Index = f.Index*10 + serving.TokenIndex(rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits > 1 && rest[0] == '0' {
		return f, false // JSON numbers have no leading zero.
	}
	rest, ok = bytes.CutPrefix(rest[digits:], tokenField)
	if !ok {
		return f, false
	}
	token, rest, ok := plainString(rest)
	if !ok {
		return f, false
	}
	tokenEnd := len(data) - len(rest) - 1
	var finish []byte
	if after, has := bytes.CutPrefix(rest, finishField); has {
		if finish, rest, ok = plainString(after); !ok {
			return f, false
		}
	}
	if len(rest) != 1 || rest[0] != '}' {
		return f, false
	}
	f.Data = string(data)
	f.Token = f.Data[tokenEnd-len(token) : tokenEnd]
	f.FinishReason = string(finish)
	return f, true
}

// plainString cuts a JSON string without escapes off; data begins after the first quote.
func plainString(data []byte) (s, rest []byte, ok bool) {
	end := bytes.IndexByte(data, '"')
	if end < 0 {
		return nil, nil, false
	}
	s = data[:end]
	for _, c := range s {
		if c < 0x20 || c == '\\' {
			return nil, nil, false
		}
	}
	return s, data[end+1:], utf8.Valid(s)
}

// appendEvent appends a frame as a server-sent event.
func appendEvent(dst []byte, signer *generation.StreamSigner, f *generation.Frame) []byte {
	dst = append(dst, "id: "...)
	dst = signer.Append(dst, f.Index+1, f.FinishReason != "")
	dst = append(dst, "\ndata: "...)
	if f.Data != "" {
		dst = append(dst, f.Data...)
	} else {
		data, _ := json.Marshal(f) // A frame has no field that fails to marshal.
		dst = append(dst, data...)
	}
	return append(dst, "\n\n"...)
}
