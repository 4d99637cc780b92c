// Package generation puts the frames of one answer in order and signs the
// tokens by which a caller resumes a stream.
//
// A generation is one run of a request on one engine. Its frames may arrive
// repeated, out of order, late, or from another request; a [Sequencer] lets each
// token through once, in order, and only from its own generation.
//
// # Usage
//
//	s := generation.NewSequencer("request-1", "generation-1", 0)
//	ready, err := s.Accept(generation.Frame{RequestID: "request-1", GenerationID: "generation-1", Token: "a"})
//
// A [Signer] makes resume tokens that every entry with the same key accepts, so
// that no shared table of streams is needed:
//
//	signer := generation.NewSigner(key)
//	token := signer.Sign(generation.Position{Engine: "engine-1", Next: 1})
//	position, err := signer.Verify(token)
//
// For many tokens of one stream a [StreamSigner] encodes the position only once:
//
//	stream := signer.Stream(generation.Position{Engine: "engine-1"})
//	buf = stream.Append(buf, 1, false)
package generation
