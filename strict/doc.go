// Package strict rejects malformed HTTP/1.1 responses before net/http parses them. net/http accepts field names with spaces, any three-digit status and chunked HTTP/1.0 responses.
package strict
