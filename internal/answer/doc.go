// Package answer holds the rule for what may be taken for the answer of an HTTP server. All code
// that reads answers uses it, of engines as well as of the other processes of the system.
//
// # Usage
//
// A reader with connections of its own reads the header of an answer with Read:
//
//	res, err := answer.Read(reader, &http.Request{Method: method})
//
// A client of the standard library gets a Transport around its own:
//
//	client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{}}}
//
// Bytes that break the rule are an *Error. They say nothing about the call, neither that it ran nor
// that it did not, and their connection must not be used again.
//
// # Rule
//
// The status line and the fields must have the syntax of RFC 9110 and RFC 9112: the version is
// HTTP/1.x, the status is between 100 and 599, and 101 only answers a request to change the protocol,
// which is never sent. An answer in HTTP/1.0 has no transfer encoding; a Transport can't tell, because
// net/http drops the field. The name of a field is a token. The same holds for interim answers, and for
// the fields behind a body, with which the answer ends as broken. Everything else that the standard
// library accepts is an answer, such as an unknown status, a missing reason or folded fields.
//
// The package net/http alone accepts more, because it leaves these checks to its users.
package answer
