package strict

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"kingcupcross/bound"
)

// ErrMalformed is the cause of errors for responses with an invalid status line, header, trailer or chunk.
var ErrMalformed = errors.New("malformed response")

// state is the part of a response that the next byte belongs to.
type state uint8

const (
	inVersion state = iota
	inStatus
	inReason
	// atField is the start of a line of the header or trailer.
	atField
	inName
	inValue
	inBody
	// inOpenBody is a body that ends with the connection.
	inOpenBody
	inChunkSize
	// afterChunkSize is the white space after a chunk size.
	afterChunkSize
	inChunkExtension
	inChunk
	// afterChunk is the line break that ends a chunk.
	afterChunk
)

// versionPattern is the beginning of a status line; 'd' stands for any digit.
const versionPattern = "HTTP/d.d "

const (
	// maxKeptName is the length up to which a field name is kept; it exceeds that of the names that determine the framing.
	maxKeptName = 64
	// maxKeptValue is the length up to which the value of a field that determines the framing is kept. No valid one is as long.
	maxKeptValue = 64
	// maxFields is the number of fields of a header or trailer. A parsed field takes over a hundred bytes, even if it was received as three.
	maxFields = 1000
)

// scanner checks the responses of one connection byte by byte. It follows their framing, so that it knows which bytes belong to a body.
type scanner struct {
	state state
	// cr is set after a carriage return, which must be followed by a line feed.
	cr bool
	// position is the number of bytes of the version, digits of the status or digits of the chunk size so far.
	position int
	// noBody is set if the request was a HEAD request.
	noBody bool
	// afterInterim is set if the previous response was an interim one, so that the final one is still to come.
	afterInterim bool

	// major and minor are the digits of the version.
	major, minor byte
	status       int
	inTrailer    bool
	// fields is the number of fields of the header or trailer so far.
	fields int
	// name and value are the current field's, up to maxKeptName and maxKeptValue bytes.
	name, value []byte
	chunked     bool
	// length is the content length as it was received, empty without one.
	length string
	// remaining is the number of bytes that are still to come of the body or chunk.
	remaining uint64
}

// begin prepares for the response to a request.
func (s *scanner) begin(method string) {
	*s = scanner{
		noBody: method == http.MethodHead,
		name:   s.name[:0],
		value:  s.value[:0],
	}
}

// nextHead prepares for the next response on the connection.
func (s *scanner) nextHead() {
	noBody, afterInterim := s.noBody, s.status != 0 && s.status < http.StatusOK
	s.begin("")
	s.noBody, s.afterInterim = noBody, afterInterim
}

// inStep reports whether the last byte ended a final response, or no byte was scanned.
func (s *scanner) inStep() bool {
	return s.state == inVersion && s.position == 0 && !s.afterInterim && !s.cr
}

// scan checks received bytes. The first complete of them end with a final response, or complete is zero. An error wraps ErrMalformed, or bound.ErrTooLong for too many fields, and concerns the bytes after these.
func (s *scanner) scan(b []byte) (complete int, err error) {
	for i := 0; i < len(b); {
		switch s.state {
		case inOpenBody:
			return complete, nil
		case inBody, inChunk:
			n := min(s.remaining, uint64(len(b)-i))
			i += int(n)
			if s.remaining -= n; s.remaining > 0 {
				return complete, nil
			}
			if s.state == inChunk {
				s.state = afterChunk
			} else {
				s.nextHead()
			}
		default:
			if err := s.scanByte(b[i]); err != nil {
				return complete, wrapViolation(err)
			}
			i++
		}
		if s.inStep() {
			complete = i
		}
	}
	return complete, nil
}

// wrapViolation wraps an error in ErrMalformed unless a response is only too long.
func wrapViolation(err error) error {
	if errors.Is(err, bound.ErrTooLong) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// scanByte checks a byte outside of bodies.
func (s *scanner) scanByte(c byte) error {
	switch {
	case s.cr && c != '\n':
		return fmt.Errorf("carriage return without line feed in %s", s.where())
	case c == '\r':
		s.cr = true
		return nil
	case c == '\n':
		s.cr = false
		return s.endLine()
	}
	switch s.state {
	case inVersion:
		return s.scanVersion(c)
	case inStatus:
		return s.scanStatus(c)
	case atField, inName:
		return s.scanName(c)
	case inReason, inChunkExtension:
		return s.checkValueByte(c)
	case inValue:
		if blank := c == ' ' || c == '\t'; len(s.value) < maxKeptValue && (!blank || len(s.value) > 0) {
			s.value = append(s.value, c)
		}
		return s.checkValueByte(c)
	case inChunkSize, afterChunkSize:
		return s.scanChunkSize(c)
	default:
		return fmt.Errorf("byte %q after a chunk", c)
	}
}

// where describes the current position for errors.
func (s *scanner) where() string {
	switch s.state {
	case inVersion, inStatus, inReason:
		return "the status line"
	case atField, inName:
		return "a field name"
	case inValue:
		return fmt.Sprintf("the value of field %q", s.name)
	default:
		return "the framing of a chunk"
	}
}

func (s *scanner) scanVersion(c byte) error {
	want := versionPattern[s.position]
	if c != want && (want != 'd' || !isDigit(c)) {
		return fmt.Errorf("byte %q in the version of the status line", c)
	}
	switch s.position {
	case len("HTTP/"):
		s.major = c
	case len("HTTP/1."):
		s.minor = c
	}
	s.position++
	if s.position == len(versionPattern) {
		s.state, s.position = inStatus, 0
	}
	return nil
}

func (s *scanner) scanStatus(c byte) error {
	switch {
	case s.position == 0 && c == ' ':
		return nil
	case s.position < 3 && isDigit(c):
		s.status = 10*s.status + int(c-'0')
		s.position++
		return nil
	case s.position == 3 && c == ' ':
		s.state = inReason
		return s.checkStatus()
	default:
		return fmt.Errorf("byte %q in the status", c)
	}
}

// checkStatus checks a complete status.
func (s *scanner) checkStatus() error {
	switch {
	case s.status < 100 || s.status > 599:
		return fmt.Errorf("status %03d is not between 100 and 599", s.status)
	case s.status == http.StatusSwitchingProtocols:
		return errors.New("status 101 without a request to switch protocols")
	default:
		return nil
	}
}

func (s *scanner) scanName(c byte) error {
	switch {
	case s.state == atField && (c == ' ' || c == '\t'):
		// Obsolete line folding can't be told from a field name that begins with a blank. RFC 9112, section 5.2, allows to reject it.
		return errors.New("a line of the header or trailer begins with a blank")
	case c == ':' && len(s.name) > 0:
		s.state = inValue
	case !isTokenByte(c):
		return fmt.Errorf("byte %q after %q in a field name", c, s.name)
	default:
		s.state = inName
		if len(s.name) < maxKeptName {
			s.name = append(s.name, c)
		}
	}
	return nil
}

// checkValueByte reports control bytes in a value, reason phrase or chunk extension.
func (s *scanner) checkValueByte(c byte) error {
	if c < ' ' && c != '\t' || c == 0x7f {
		return fmt.Errorf("control byte %q in %s", c, s.where())
	}
	return nil
}

func (s *scanner) scanChunkSize(c byte) error {
	digit, isHex := hexValue(c)
	switch {
	case isHex && s.state == inChunkSize:
		// An overflow doesn't matter: net/http rejects chunk sizes with more than 16 digits.
		s.remaining = s.remaining<<4 | digit
		s.position++
	case (c == ' ' || c == '\t') && s.position > 0:
		s.state = afterChunkSize
	case c == ';' && s.position > 0:
		s.state = inChunkExtension
	default:
		return fmt.Errorf("byte %q in a chunk size", c)
	}
	return nil
}

// endLine handles the end of a line.
func (s *scanner) endLine() error {
	switch s.state {
	case inStatus:
		if s.position < 3 {
			return errors.New("incomplete status")
		}
		s.state = atField
		return s.checkStatus()
	case inReason:
		s.state = atField
	case inValue:
		return s.endField()
	case atField:
		if s.inTrailer {
			s.nextHead()
			return nil
		}
		return s.endHeader()
	case inChunkSize, afterChunkSize, inChunkExtension:
		return s.endChunkSize()
	case afterChunk:
		s.beginChunkSize()
	default:
		return fmt.Errorf("line ends in %s", s.where())
	}
	return nil
}

// endField handles the end of a field and keeps what determines the framing.
func (s *scanner) endField() error {
	if s.fields++; s.fields > maxFields {
		return fmt.Errorf("%w: more than %d fields", bound.ErrTooLong, maxFields)
	}
	value := strings.TrimRight(string(s.value), " \t")
	isLength := strings.EqualFold(string(s.name), "Content-Length")
	isEncoding := strings.EqualFold(string(s.name), "Transfer-Encoding")
	switch {
	case s.inTrailer || !isLength && !isEncoding:
	case len(s.value) == maxKeptValue:
		return fmt.Errorf("value of field %q is too long", s.name)
	case isLength && s.length != "" && s.length != value:
		return fmt.Errorf("content lengths %q and %q", s.length, value)
	case isLength && value == "":
		return errors.New("empty content length")
	case isLength:
		s.length = value
	case s.chunked || !strings.EqualFold(value, "chunked"):
		return fmt.Errorf("transfer encoding %q is unknown or repeated", value)
	case s.major == '0' || s.major == '1' && s.minor == '0':
		// RFC 9112, section 6.1: the framing of such a response is faulty.
		return fmt.Errorf("transfer encoding in an HTTP/%c.%c response", s.major, s.minor)
	default:
		s.chunked = true
	}
	s.state, s.name, s.value = atField, s.name[:0], s.value[:0]
	return nil
}

// endHeader handles the empty line after a header and determines the framing of the body.
func (s *scanner) endHeader() error {
	switch {
	case s.status < http.StatusOK, s.noBody, s.status == http.StatusNoContent, s.status == http.StatusNotModified:
		s.nextHead()
	case s.chunked:
		s.beginChunkSize()
	case s.length == "":
		s.state = inOpenBody
	default:
		n, err := strconv.ParseUint(s.length, 10, 63)
		if err != nil {
			return fmt.Errorf("invalid content length %q", s.length)
		}
		s.state, s.remaining = inBody, n
		if n == 0 {
			s.nextHead()
		}
	}
	return nil
}

func (s *scanner) beginChunkSize() {
	s.state, s.position, s.remaining = inChunkSize, 0, 0
}

// endChunkSize begins a chunk, or the trailer after the last one.
func (s *scanner) endChunkSize() error {
	switch {
	case s.position == 0:
		return errors.New("empty chunk size")
	case s.remaining == 0:
		s.state, s.inTrailer, s.fields = atField, true, 0
	default:
		s.state = inChunk
	}
	return nil
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) (value uint64, ok bool) {
	switch {
	case isDigit(c):
		return uint64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return uint64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return uint64(c-'A') + 10, true
	}
	return 0, false
}

// isTokenByte reports whether a field name may contain c (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
