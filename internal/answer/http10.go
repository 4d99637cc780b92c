package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// http10 is how an answer in HTTP/1.0 begins.
const http10 = "HTTP/1.0 "

// beginsHTTP10 reports whether an answer in HTTP/1.0 comes next. It waits for no more bytes than it
// needs to tell, because bytes that are no answer may be fewer.
func beginsHTTP10(r *bufio.Reader) bool {
	for n := range len(http10) {
		if b, err := r.Peek(n + 1); err != nil || b[n] != http10[n] {
			return false
		}
	}
	return true
}

// readHTTP10 is http.ReadResponse for HTTP/1.0, which has no transfer encodings. The package net/http
// drops such a field and passes on the framing as the body. The connection of the answer can't be used
// again.
func readHTTP10(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	header, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	_, lines, _ := bytes.Cut(header, []byte("\n"))
	fields, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if err == nil && len(fields["Transfer-Encoding"]) > 0 {
		return nil, &Error{"transfer encoding in HTTP/1.0"}
	}
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(header), r)), req)
	if err != nil {
		return nil, err
	}
	res.Close = true
	return res, nil
}

// readHeader reads the bytes up to the empty line behind a header, and that line.
func readHeader(r *bufio.Reader) ([]byte, error) {
	var header []byte
	for start := 0; ; {
		part, err := r.ReadSlice('\n')
		header = append(header, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(header[start:], "\r\n")) == 0:
			return header, nil
		}
		start = len(header)
	}
}
