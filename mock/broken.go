package mock

import (
	"fmt"
	"strings"
)

// brokenLines are malformed lines of a header, by what is wrong with them.
var brokenLines = map[string]string{
	"space inside a name":                  "X Field: x",
	"space after a name":                   "X-Field : x",
	"tab after a name":                     "X-Field\t: x",
	"blank before a name":                  " X-Field: x",
	"tab before a name":                    "\tX-Field: x",
	"space after the only content length":  "Content-Length : 5",
	"space after the transfer encoding":    "Transfer-Encoding : chunked",
	"control byte in a name":               "X-\x01Field: x",
	"zero byte in a name":                  "X-Field\x00: x",
	"delete byte in a name":                "X-Field\x7f: x",
	"byte above 0x7f in a name":            "X-F\xc3\xa9ld: x",
	"empty name":                           ": x",
	"no colon":                             "X-Field",
	"control byte in a value":              "X-Field: a\x01b",
	"zero byte in a value":                 "X-Field: a\x00b",
	"carriage return in a value":           "X-Field: a\rb",
	"unknown transfer encoding":            "Transfer-Encoding: gzip",
	"chunked response of an older version": "Transfer-Encoding: chunked",
}

// brokenStatusLines are malformed status lines.
var brokenStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
	"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1", "ICY 200 OK",
}

// ResponseBody is a body for BrokenResponses and OddResponses.
const ResponseBody = "0123456789abcdef"

// BrokenResponses returns malformed responses by what is wrong with them. Each has the given fields, each of which ends with a line break, and the body. Without the malformed part it would be sound.
func BrokenResponses(fields, body string) map[string]string {
	const chunked = "Transfer-Encoding: chunked\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	size := fmt.Sprintf("%x", len(body))
	chunk := size + "\r\n" + body + "\r\n"
	head := "HTTP/1.1 200 OK\r\n" + fields
	responses := map[string]string{
		"space after a name, length":     head + "X-Field : x\r\n" + length + "\r\n" + body,
		"space in a name, chunks":        head + "X Field: x\r\n" + chunked + "\r\n" + chunk + "0\r\n\r\n",
		"space in a name, no content":    "HTTP/1.1 204 No Content\r\n" + fields + "X Field: x\r\n\r\n",
		"space in a name, empty body":    head + "X Field: x\r\nContent-Length: 0\r\n\r\n",
		"space in a name, not modified":  "HTTP/1.1 304 Not Modified\r\n" + fields + "X Field: x\r\n" + length + "\r\n",
		"space in a name, failure":       "HTTP/1.1 500 Internal Server Error\r\n" + fields + "X Field: x\r\n" + length + "\r\n" + body,
		"space in a name, not run":       "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + fields + "X Field: x\r\n" + length + "\r\n" + body,
		"space in an interim head":       "HTTP/1.1 103 Early Hints\r\nX Field: x\r\n\r\n" + head + length + "\r\n" + body,
		"line that begins with a space":  head + " X-Field: x\r\n" + length + "\r\n" + body,
		"line that begins with a tab":    head + "\tX-Field: x\r\n" + length + "\r\n" + body,
		"interim status 101":             "HTTP/1.1 101 Switching Protocols\r\n\r\n" + head + length + "\r\n" + body,
		"interim status 000":             "HTTP/1.1 000 x\r\n\r\n" + head + length + "\r\n" + body,
		"space in a trailer":             head + chunked + "\r\n" + chunk + "0\r\nX Field: x\r\n\r\n",
		"space after a name in trailer":  head + chunked + "\r\n" + chunk + "0\r\nX-Field : x\r\n\r\n",
		"control byte in a trailer":      head + chunked + "\r\n" + chunk + "0\r\nX-Field: \x01\r\n\r\n",
		"folded line in a trailer":       head + chunked + "\r\n" + chunk + "0\r\nX-Field: x\r\n y: z\r\n\r\n",
		"control byte in a chunk size":   head + chunked + "\r\n" + size + "\x01\r\n" + body + "\r\n0\r\n\r\n",
		"space before a chunk size":      head + chunked + "\r\n " + chunk + "0\r\n\r\n",
		"no line break after a chunk":    head + chunked + "\r\n" + size + "\r\n" + body + "xx0\r\n\r\n",
		"control byte in an extension":   head + chunked + "\r\n" + size + ";a=\x01\r\n" + body + "\r\n0\r\n\r\n",
		"content lengths that differ":    head + length + "Content-Length: 5\r\n\r\n" + body,
		"content length with a sign":     head + strings.Replace(length, ": ", ": +", 1) + "\r\n" + body,
		"content length that is no text": head + strings.Replace(length, ": ", ": \x00", 1) + "\r\n" + body,
	}
	for name, line := range brokenLines {
		framing := length
		switch {
		case strings.HasPrefix(line, "Content-Length"), strings.HasPrefix(line, "Transfer-Encoding"):
			framing = ""
		}
		version := head
		if name == "chunked response of an older version" {
			version = "HTTP/1.0 200 OK\r\n" + fields
		}
		responses[name+", first line"] = strings.Replace(version, "\r\n", "\r\n"+line+"\r\n", 1) + framing + "\r\n" + body
		responses[name+", last line"] = version + framing + line + "\r\n\r\n" + body
	}
	for _, line := range brokenStatusLines {
		responses[fmt.Sprintf("status line %q", line)] = line + "\r\n" + fields + length + "\r\n" + body
	}
	return responses
}

// Status000Responses returns responses with status 000, by how they are sent. Each has the given fields, each of which ends with a line break, and the body.
func Status000Responses(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	whole := fields + length + "\r\n" + body
	return map[string]string{
		"reason":                   "HTTP/1.1 000 OK\r\n" + whole,
		"empty reason":             "HTTP/1.1 000 \r\n" + whole,
		"no reason":                "HTTP/1.1 000\r\n" + whole,
		"lines that end with LF":   strings.ReplaceAll("HTTP/1.1 000 OK\r\n"+fields+length+"\r\n", "\r", "") + body,
		"older version":            "HTTP/1.0 000 OK\r\n" + whole,
		"chunks":                   "HTTP/1.1 000 OK\r\n" + fields + chunks,
		"chunks, no reason":        "HTTP/1.1 000\r\n" + fields + chunks,
		"end of the connection":    "HTTP/1.1 000 OK\r\nConnection: close\r\n" + fields + "\r\n" + body,
		"no body":                  "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"head alone":               "HTTP/1.1 000 OK\r\n\r\n",
		"after an interim head":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 OK\r\n" + whole,
		"interim, then no reason":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000\r\n" + whole,
		"interim, then chunks":     "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 OK\r\n" + fields + chunks,
		"before a success":         "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + whole,
		"says that it has not run": "HTTP/1.1 000 OK\r\nX-Not-Executed: 1\r\n" + whole,
	}
}

// OddResponses returns responses that are unusual and sound, by what is unusual about them. Each has the given fields, each of which ends with a line break, and the body of more than 8 bytes.
func OddResponses(fields, body string) map[string]string {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	end := length + "\r\n" + body
	first, second := body[:8], body[8:]
	head := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"every token byte in a name":     head + "!#$%&'*+-.^_`|~0123456789ABCXYZabcxyz: x\r\n" + end,
		"bytes above 0x7f in a value":    head + "X-Field: caf\xc3\xa9 \x80\xff\r\n" + end,
		"tab in a value":                 head + "X-Field: a\tb\r\n" + end,
		"empty value":                    head + "X-Field:\r\n" + end,
		"blanks around a value":          head + "X-Field: \t x \t\r\n" + end,
		"no blank before a value":        strings.ReplaceAll(head, ": ", ":") + end,
		"no reason phrase":               "HTTP/1.1 200 \r\n" + fields + end,
		"no space after the status":      "HTTP/1.1 200\r\n" + fields + end,
		"bytes above 0x7f in the reason": "HTTP/1.1 200 d\xe9j\xe0\r\n" + fields + end,
		"status 299":                     "HTTP/1.1 299 x\r\n" + fields + end,
		"HTTP/1.0":                       "HTTP/1.0 200 OK\r\n" + fields + end,
		"lines that end with LF":         strings.ReplaceAll(head+length+"\r\n", "\r", "") + body,
		"lower-case content length":      head + strings.ToLower(length) + "\r\n" + body,
		"repeated content length":        head + length + end,
		"interim heads":                  "HTTP/1.1 100\r\n\r\nHTTP/1.1 102 x\r\nX-Field: x\r\n\r\n" + head + end,
		"chunks with extensions":         head + chunked + "8;a=b\r\n" + first + fmt.Sprintf("\r\n0%X \r\n", len(second)) + second + "\r\n0;last\r\n\r\n",
		"chunks with a trailer":          head + chunked + "8\r\n" + first + fmt.Sprintf("\r\n%x\r\n", len(second)) + second + "\r\n000\r\nX-Field: \xe9\r\nX-Other:\r\n\r\n",
		"mixed-case transfer encoding":   head + "transfer-ENCODING: Chunked\r\n\r\n8\r\n" + first + fmt.Sprintf("\r\n%x\r\n", len(second)) + second + "\r\n0\r\n\r\n",
	}
}
