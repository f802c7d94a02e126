package cmds

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// TraceCmd collects the log lines of one request from the logs of several hosts.
type TraceCmd struct {
	Request string   `arg:"" help:"The request's id."`
	Files   []string `arg:"" optional:"" help:"Log files of hosts; standard input where none is given."`
	Around  bool     `help:"Show also what the hosts of the request came to believe in the ten seconds before it."`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// aroundWindow is the period before a request from which the flag Around includes other log lines of its hosts.
const aroundWindow = 10 * time.Second

// logLine is one parsed line of a host's log.
type logLine struct {
	Time    time.Time
	Host    string
	Logger  string
	Message string
	Request string
	Fields  map[string]any
}

// Run prints the request's log lines ordered by time and reports the number of malformed lines.
func (c *TraceCmd) Run(out io.Writer, progress Progress) error {
	lines, malformed, err := readLogs(c.Files, progress)
	if err != nil {
		return err
	}
	selected := c.selectLines(lines)
	for _, l := range selected {
		if _, err := fmt.Fprintln(out, l.format()); err != nil {
			return err
		}
	}
	if malformed > 0 {
		fmt.Fprintf(progress, "skipped %d malformed log lines\n", malformed)
	}
	if len(selected) == 0 {
		return eris.Errorf("no log line of request %q found: give the logs of all hosts, or trace a request that failed (lines of successful requests are sampled)", c.Request)
	}
	return nil
}

// readLogs parses the log lines of all files, or of standard input if none is given. A file that can't be opened is reported and skipped.
func readLogs(files []string, progress Progress) (lines []logLine, malformed int, err error) {
	if len(files) == 0 {
		return readLog(os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(progress, "skipped log file:", err)
			continue
		}
		fileLines, fileMalformed, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, 0, eris.Wrapf(err, "read %s", name)
		}
		lines, malformed = append(lines, fileLines...), malformed+fileMalformed
	}
	return lines, malformed, nil
}

// readLog parses the log lines of one reader and counts the malformed ones.
func readLog(in io.Reader) (lines []logLine, malformed int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		// A log collector may prefix each line with its own text.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			if strings.TrimSpace(text) != "" {
				malformed++
			}
			continue
		}
		l, ok := parseLogLine(text[start:])
		if !ok {
			malformed++
			continue
		}
		lines = append(lines, l)
	}
	return lines, malformed, s.Err()
}

// parseLogLine parses a JSON log line; it reports false if the line is no JSON object or has no valid time.
func parseLogLine(text string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, false
	}
	takeString := func(key string) string {
		value, ok := fields[key].(string)
		if ok {
			delete(fields, key)
		}
		return value
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", takeString("ts"))
	if err != nil {
		return logLine{}, false
	}
	delete(fields, "level")
	return logLine{
		Time:    at,
		Host:    takeString("host"),
		Logger:  takeString("logger"),
		Message: takeString("msg"),
		Request: takeString("request"),
		Fields:  fields,
	}, true
}

// selectLines returns the lines of the request, ordered by time. If Around is set, it adds lines that belong to no request, such as changes of membership or configuration: those that a host of the request logged within aroundWindow before its own first line of the request.
func (c *TraceCmd) selectLines(lines []logLine) []logLine {
	firstSeen := map[string]time.Time{}
	var selected []logLine
	for _, l := range lines {
		if l.Request == c.Request {
			selected = append(selected, l)
			if first, known := firstSeen[l.Host]; !known || l.Time.Before(first) {
				firstSeen[l.Host] = l.Time
			}
		}
	}
	for _, l := range lines {
		at, known := firstSeen[l.Host]
		if c.Around && known && l.Request == "" && !l.Time.After(at) && at.Sub(l.Time) <= aroundWindow {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return selected
}

// format returns the line as readable text.
func (l logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Host, l.Logger, l.Message)
	for _, key := range sortedKeys(l.Fields) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
