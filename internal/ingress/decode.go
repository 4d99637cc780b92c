package ingress

import (
	"bytes"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// jsonObjectBytes and jsonItemBytes bound what an object, and another item, of a JSON
	// document takes when it is decoded: the largest struct of the configuration has 240 bytes,
	// and slices that grow hold up to twice their length for a moment.
	jsonObjectBytes = 512
	jsonItemBytes   = 48
	// protoMessageBytes and protoScalarBytes bound what a nested message, string or byte slice,
	// and what a number, of a protobuf message takes when it is decoded: EngineUse, the largest
	// repeated message of a poll, takes 201 bytes.
	protoMessageBytes = 256
	protoScalarBytes  = 16
	// maxNesting bounds the depth to which nested messages are counted. No message of the
	// schema is nested deeper.
	maxNesting = 8
)

// JSONCost bounds the memory that a JSON document takes when it is decoded into structs.
func JSONCost(body []byte) int64 {
	return jsonObjectBytes*int64(bytes.Count(body, []byte{'{'})) + jsonItemBytes*int64(bytes.Count(body, []byte{','}))
}

// ProtoCost bounds the memory that a protobuf message takes when it is decoded. Strings that
// could be messages count as such. A body that is not protobuf counts as JSON.
func ProtoCost(body []byte) int64 {
	n, ok := protoCost(body, maxNesting)
	if !ok {
		return JSONCost(body)
	}
	return n
}

func protoCost(b []byte, depth int) (cost int64, ok bool) {
	for len(b) > 0 {
		_, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, false
		}
		b = b[n:]
		if kind != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(1, kind, b); n < 0 {
				return 0, false
			}
			cost += protoScalarBytes
			b = b[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return 0, false
		}
		cost += protoMessageBytes
		if depth > 0 {
			if inner, ok := protoCost(value, depth-1); ok {
				cost += inner
			}
		}
		b = b[n:]
	}
	return cost, true
}
