// Package generation puts the frames of one answer in order and signs resume
// tokens, with which a caller resumes a stream.
//
// A generation is one run of a request on one engine. Frames may arrive
// repeatedly, out of order or late, or belong to another request. A [Sequencer]
// delivers each token of its generation once and in order, and drops all other
// frames.
//
// # Usage
//
//	s := generation.NewSequencer("request-1", "generation-1", 0)
//	ready, err := s.Accept(generation.Frame{RequestID: "request-1", GenerationID: "generation-1", Token: "a"})
//
// A [Signer] creates resume tokens that every entry with the same key accepts, so
// that entries need no shared table of streams:
//
//	signer := generation.NewSigner(key)
//	token := signer.Sign(generation.Position{Engine: "engine-1", Next: 1})
//	position, err := signer.Verify(token)
//
// A [StreamSigner] encodes the position once for all resume tokens of a stream:
//
//	stream := signer.Stream(generation.Position{Engine: "engine-1"})
//	buf = stream.Append(buf, 1, false)
package generation
