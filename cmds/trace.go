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

// TraceCmd prints what the logs of several hosts say of one request.
type TraceCmd struct {
	Request string   `arg:"" help:"The request's id."`
	Files   []string `arg:"" optional:"" help:"Log files of hosts; standard input where none is given."`
	Around  bool     `help:"Show also what the hosts of the request came to believe in the ten seconds before it."`
}

// maxLine bounds a line of a log file, in bytes.
const maxLine = 1 << 20

// aroundTime is the time before a request of which Around shows what its hosts came to believe.
const aroundTime = 10 * time.Second

// logLine is one line of a host's log.
type logLine struct {
	Time    time.Time
	Host    string
	Logger  string
	Message string
	Request string
	Fields  map[string]any
}

// Run prints the request's lines in the order of their times; lines that can't be read are counted.
func (c *TraceCmd) Run(out io.Writer, progress Progress) error {
	lines, broken, err := readLogs(c.Files, progress)
	if err != nil {
		return err
	}
	story := c.story(lines)
	for _, l := range story {
		if _, err := fmt.Fprintln(out, l.text()); err != nil {
			return err
		}
	}
	if broken > 0 {
		fmt.Fprintf(progress, "%d lines can't be read as log lines and were passed over\n", broken)
	}
	if len(story) == 0 {
		return eris.Errorf("no line names request %q: give the logs of all hosts, or ask for one that failed (lines of requests that went well are sampled)", c.Request)
	}
	return nil
}

// readLogs reads all files, standard input where there are none; a file that can't be opened is told of and passed over.
func readLogs(files []string, progress Progress) (lines []logLine, broken int, err error) {
	if len(files) == 0 {
		return readLog(os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(progress, "passed over:", err)
			continue
		}
		some, bad, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, 0, eris.Wrapf(err, "read %s", name)
		}
		lines, broken = append(lines, some...), broken+bad
	}
	return lines, broken, nil
}

func readLog(in io.Reader) (lines []logLine, broken int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		// Whatever collects the logs may put its own words before each line.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			if strings.TrimSpace(text) != "" {
				broken++
			}
			continue
		}
		l, ok := decodeLine(text[start:])
		if !ok {
			broken++
			continue
		}
		lines = append(lines, l)
	}
	return lines, broken, s.Err()
}

func decodeLine(text string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, false
	}
	take := func(key string) string {
		value, ok := fields[key].(string)
		if ok {
			delete(fields, key)
		}
		return value
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", take("ts"))
	if err != nil {
		return logLine{}, false
	}
	delete(fields, "level")
	return logLine{
		Time:    at,
		Host:    take("host"),
		Logger:  take("logger"),
		Message: take("msg"),
		Request: take("request"),
		Fields:  fields,
	}, true
}

// story returns the lines of the request and, with Around, those by which its hosts changed what they believe.
func (c *TraceCmd) story(lines []logLine) []logLine {
	hosts := map[string]time.Time{}
	var story []logLine
	for _, l := range lines {
		if l.Request == c.Request {
			story = append(story, l)
			if first, known := hosts[l.Host]; !known || l.Time.Before(first) {
				hosts[l.Host] = l.Time
			}
		}
	}
	for _, l := range lines {
		at, known := hosts[l.Host]
		if c.Around && known && l.Request == "" && !l.Time.After(at) && at.Sub(l.Time) <= aroundTime {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return story
}

// text returns the line for people.
func (l logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Host, l.Logger, l.Message)
	for _, key := range sortedKeys(l.Fields) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
