package strict_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/mock"
	"kingcupcross/strict"
)

const fields = "X-Other: 1\r\n"

// TestReaderRejectsMalformedResponses guards against a malformed response that passes because of the way in which the connection splits it.
func TestReaderRejectsMalformedResponses(t *testing.T) {
	for name, response := range mock.BrokenResponses(fields, mock.ResponseBody) {
		whole, err := io.ReadAll(strict.NewReader(strings.NewReader(response)))
		require.ErrorIs(t, err, strict.ErrMalformed, name)
		require.Empty(t, whole, name)
		_, err = io.ReadAll(strict.NewReader(iotest.OneByteReader(strings.NewReader(response))))
		require.ErrorIs(t, err, strict.ErrMalformed, name)
	}
}

func TestReaderPassesSoundResponses(t *testing.T) {
	for name, response := range mock.OddResponses(fields, mock.ResponseBody) {
		for _, source := range []io.Reader{
			strings.NewReader(response),
			iotest.OneByteReader(strings.NewReader(response)),
			iotest.DataErrReader(strings.NewReader(response)),
		} {
			r := strict.NewReader(source)
			passed, err := io.ReadAll(r)
			require.NoError(t, err, name)
			require.Equal(t, response, string(passed), name)
			require.True(t, r.InStep(), name)
		}
	}
}

// TestWholeResponseBeforeAMalformedOne guards against a sound response that is lost because of bytes after it, and against a connection that seems usable after them.
func TestWholeResponseBeforeAMalformedOne(t *testing.T) {
	sound := mock.OddResponses(fields, mock.ResponseBody)["chunks with a trailer"]
	r := strict.NewReader(strings.NewReader(sound + "more"))
	passed, err := io.ReadAll(r)
	require.ErrorIs(t, err, strict.ErrMalformed)
	require.Equal(t, sound, string(passed))
	require.False(t, r.InStep())
	_, err = r.Read(make([]byte, 1))
	require.ErrorIs(t, err, strict.ErrMalformed)
}

// TestInStepOnlyAfterWholeResponses guards against a connection that is reused while a part of a response is missing.
func TestInStepOnlyAfterWholeResponses(t *testing.T) {
	for name, response := range mock.OddResponses(fields, mock.ResponseBody) {
		for n := range len(response) {
			r := strict.NewReader(strings.NewReader(response[:n]))
			_, err := io.ReadAll(r)
			require.NoError(t, err, name)
			require.Equal(t, n == 0, r.InStep(), "%s, %d bytes", name, n)
		}
	}
}

// readResponse reads the first final response and returns its body.
func readResponse(r *bufio.Reader, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}

// FuzzReader compares the reader with net/http: what passes both has a sound header, and both agree on where a response ends, however it is split.
func FuzzReader(f *testing.F) {
	for _, responses := range []map[string]string{mock.BrokenResponses(fields, mock.ResponseBody), mock.OddResponses(fields, mock.ResponseBody)} {
		for _, response := range responses {
			f.Add([]byte(response), false, uint8(7))
			f.Add([]byte(response+response), true, uint8(1))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool, split uint8) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		newReader := func(data []byte) *strict.Reader {
			r := strict.NewReader(&splitReader{data: data, size: int(split) + 1})
			r.Begin(method)
			return r
		}
		checked := newReader(data)
		resp, body, err := readResponse(bufio.NewReader(checked), method)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, resp.StatusCode, 200)
		require.LessOrEqual(t, resp.StatusCode, 599)
		requireSoundFields(t, resp.Header)
		requireSoundFields(t, resp.Trailer)

		rest := bufio.NewReader(bytes.NewReader(data))
		plain, plainBody, err := readResponse(rest, method)
		require.NoError(t, err)
		require.Equal(t, plain.StatusCode, resp.StatusCode)
		require.Equal(t, plain.Header, resp.Header)
		require.Equal(t, plainBody, body)
		if plain.ContentLength < 0 && len(plain.TransferEncoding) == 0 && plain.StatusCode != http.StatusNoContent && plain.StatusCode != http.StatusNotModified && !head {
			return
		}
		unread, err := io.ReadAll(rest)
		require.NoError(t, err)
		end := len(data) - len(unread)
		for n, inStep := range map[int]bool{end: true, end - 1: false} {
			r := newReader(data[:n])
			_, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, inStep, r.InStep(), "%d of %d bytes", n, end)
		}
	})
}

// splitReader returns at most size bytes per read.
type splitReader struct {
	data []byte
	size int
}

// Read returns the next bytes.
func (s *splitReader) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), s.size)], s.data)
	s.data = s.data[n:]
	return n, nil
}

// tokenBytes are the bytes of a field name.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

func requireSoundFields(t *testing.T, h http.Header) {
	for name, values := range h {
		if len(values) > 0 {
			// A trailer that was only announced has no value.
			require.Empty(t, strings.Trim(name, tokenBytes), "field name %q", name)
		}
		for _, value := range values {
			require.Equal(t, -1, strings.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }), "value %q", value)
		}
	}
}

// TestTooManyFieldsAreTooLong guards against a header or trailer whose fields take far more memory than they have bytes.
func TestTooManyFieldsAreTooLong(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for n, tooMany := range map[int]bool{999: false, 1001: true} {
		many := strings.Repeat("a:\r\n", n)
		for _, response := range []string{"HTTP/1.1 200 OK\r\n" + many + "\r\n", chunked + many + "\r\n"} {
			_, err := io.ReadAll(strict.NewReader(strings.NewReader(response)))
			require.Equal(t, tooMany, errors.Is(err, bound.ErrTooLong))
			require.Equal(t, tooMany, err != nil)
		}
	}
}

// TestErrMalformedIsTheCause guards against errors from which it can't be seen what is wrong.
func TestErrMalformedIsTheCause(t *testing.T) {
	for response, text := range map[string]string{
		"HTTP/1.1 000 OK\r\n":                  `malformed response: status 000 is not between 100 and 599`,
		"HTTP/1.1 200 OK\r\nContent-Length : ": `malformed response: byte ' ' after "Content-Length" in a field name`,
		"HTTP/1.1 200 OK\r\nX: \x01":           `malformed response: control byte '\x01' in the value of field "X"`,
	} {
		_, err := io.ReadAll(strict.NewReader(strings.NewReader(response)))
		require.EqualError(t, err, text)
		require.True(t, errors.Is(err, strict.ErrMalformed))
	}
}
