package strict

import (
	"context"
	"io"
	"net"
)

// Reader reads HTTP/1.1 responses from a connection and fails at the first malformed one, with an error that wraps ErrMalformed, or at one with too many fields, with one that wraps bound.ErrTooLong. Whole responses before it can still be read.
type Reader struct {
	source  io.Reader
	scanner scanner
	// violation is the error of the first malformed response.
	violation error
}

// NewReader returns a reader for the responses that are received from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source}
}

// Begin prepares for the response to a request with the given method. Without it, a response counts as one to a GET request.
func (r *Reader) Begin(method string) {
	r.scanner.begin(method)
}

// InStep reports whether all that was received are whole and sound responses, so that the next byte belongs to a new one.
func (r *Reader) InStep() bool {
	return r.violation == nil && r.scanner.inStep()
}

// Err returns the error of the first malformed response, or nil. net/http may report another one for the truncated input.
func (r *Reader) Err() error {
	return r.violation
}

// Read reads received bytes. It doesn't return any byte of a malformed response that was received at once.
func (r *Reader) Read(p []byte) (int, error) {
	if r.violation != nil {
		return 0, r.violation
	}
	n, err := r.source.Read(p)
	complete, violation := r.scanner.scan(p[:n])
	if violation == nil {
		return n, err
	}
	r.violation = violation
	if complete > 0 {
		return complete, nil
	}
	return 0, violation
}

// conn is a client's connection that fails and closes itself at the first malformed response.
type conn struct {
	net.Conn
	reader *Reader
}

// Read reads received bytes like Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if c.reader.violation != nil {
		// The connection must not be used again, even if a whole response came before the violation.
		c.Close()
	}
	return n, err
}

// DialFunc opens a connection like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc for an http.Transport whose connections fail and close themselves at the first malformed response. The client must not send HEAD requests, since the bodies of their responses would be expected.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: n, reader: NewReader(n)}, nil
	}
}
