package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"kingcupcross/apiv1"
	"kingcupcross/bound"
	"kingcupcross/fault"
	"kingcupcross/strict"
	"kingcupcross/units"
)

const (
	// clientTimeout bounds one request to a host as a caller, including the reading of its answer.
	clientTimeout = 60 * time.Second
	// maxAnswerBytes bounds the body of an answer, maxAnswerHeadBytes its status line and header.
	maxAnswerBytes     = 32 << 20
	maxAnswerHeadBytes = 64 << 10
)

// Caller holds the flags shared by all commands that send requests to a host as a caller.
type Caller struct {
	Host netip.AddrPort `required:"" env:"KINGCUPCROSS_HOST" help:"Callers' address of a host."`
	JSON bool           `help:"Print JSON."`
}

// client sends requests to hosts and reads their answers within bounds. Malformed answers are errors.
type client struct {
	http *http.Client
	// memory bounds the bodies of all answers that are being received.
	memory *bound.Memory
}

// newClient returns a client with the defaults of net/http that keeps up to idle connections to each host.
func newClient(idle int, memory int64) *client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = strict.Dial(t.DialContext)
	t.MaxIdleConns, t.MaxIdleConnsPerHost = idle, idle
	t.MaxResponseHeaderBytes = maxAnswerHeadBytes
	return &client{http: &http.Client{Transport: t}, memory: bound.NewMemory(memory)}
}

// do sends a request and returns the answer and its body.
func (c *client) do(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "send request to host %s", req.URL.Host)
	}
	defer resp.Body.Close()
	body, err := c.memory.ReadBody(resp.Body, resp.ContentLength, maxAnswerBytes)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read answer of host %s", req.URL.Host)
	}
	return resp, body, nil
}

// commandClient sends the requests of all commands but load.
var commandClient = newClient(2, maxAnswerBytes)

// post sends one request to the host like postJSON, with commandClient and within clientTimeout.
func (c *Caller) post(path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	return postJSON(ctx, commandClient, c.Host, path, in, out)
}

// postJSON posts a request as JSON and decodes the answer after checking its length and checksum; a refusal is returned as a fault.Error.
func postJSON(ctx context.Context, client *client, host netip.AddrPort, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.String()+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	// Without GetBody, net/http cannot resend the request by itself.
	req.GetBody = nil
	resp, answer, err := client.do(req)
	if err != nil {
		return err
	}
	if strconv.FormatUint(xxhash.Sum64(answer), 16) != resp.Header.Get(apiv1.ChecksumHeader) {
		return eris.New("answer body does not match its checksum")
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(answer)
	}
	return eris.Wrap(json.Unmarshal(answer, out), "decode answer")
}

// decodeFailure decodes the body of a refusal and returns it as an error.
func decodeFailure(body []byte) error {
	var f apiv1.Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return eris.Wrap(err, "decode refusal")
	}
	return faultFromFailure(f)
}

// faultFromFailure converts a refusal to a fault.Error of the same kind. A kind that this program doesn't know gives a plain error.
func faultFromFailure(f apiv1.Failure) error {
	for _, k := range fault.Kinds() {
		if k.String() == f.Kind {
			return fault.New(k, "%s (not run: %t, come back after %s)", f.Text, f.NotRun, f.Retry)
		}
	}
	return eris.Errorf("%s: %s", f.Kind, f.Text)
}

// printJSON writes v as indented JSON.
func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// QueryCmd sends one query to a host.
type QueryCmd struct {
	Caller
	Service  string         `arg:"" help:"The service."`
	Payload  string         `arg:"" optional:"" help:"The query's text."`
	Deadline units.Duration `help:"Time for the answer, such as 150ms."`
	Coverage float64        `default:"-1" help:"Share of shards wanted at least; the service's own by default."`
	Class    string         `default:"routine" enum:"recall,routine,bulk" help:"Class of the request: ${enum}."`
}

// Run sends the query and prints the answer's snapshot, coverage and missing shards.
func (c *QueryCmd) Run(out io.Writer) error {
	q := apiv1.Query{
		Service:  c.Service,
		Payload:  []byte(c.Payload),
		Deadline: c.Deadline,
		Class:    c.Class,
	}
	if c.Coverage >= 0 {
		q.Coverage = &c.Coverage
	}
	var a apiv1.Answer
	if err := c.post(apiv1.PathQuery, q, &a); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, a)
	}
	fmt.Fprintf(out, "service %s: %d of %d shards answered, snapshot map %d index %d\n", a.Service, a.Answered, a.Shards, a.Snapshot.Map, a.Snapshot.Index)
	for _, m := range a.Missing {
		fmt.Fprintf(out, "missing shard %d: %s\n", m.Shard, m.Reason)
	}
	return nil
}

// TicketsCmd fetches new order tickets from a host.
type TicketsCmd struct {
	Caller
	Count int `default:"1" help:"Number of tickets."`
}

// Run fetches the tickets and prints one per line.
func (c *TicketsCmd) Run(out io.Writer) error {
	var m apiv1.TicketsResponse
	if err := c.post(apiv1.PathTickets, apiv1.TicketsRequest{Count: c.Count}, &m); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, m)
	}
	for _, t := range m.Tickets {
		fmt.Fprintln(out, t)
	}
	return nil
}

// OrderCmd sends one order to a host.
type OrderCmd struct {
	Caller
	Service  string         `arg:"" help:"The service."`
	Shard    int            `arg:"" help:"The shard that the order is for."`
	Payload  string         `arg:"" help:"The order's text."`
	Ticket   string         `help:"A ticket from the tickets command."`
	Key      string         `help:"A key of your own; needs --since."`
	Since    time.Time      `help:"When the key was made, such as 2026-12-03T06:00:00Z; the same at each repeat."`
	Repeat   bool           `help:"Say that the ticket or key was sent before."`
	Attempt  int            `default:"1" help:"Count of tries with the ticket or key; raise it after the answer \"not run\"."`
	Deadline units.Duration `help:"Time for the outcome, such as 2s."`
	Class    string         `default:"routine" enum:"recall,routine,bulk" help:"Class of the request: ${enum}."`
}

// Run sends the order and prints its outcome.
func (c *OrderCmd) Run(out io.Writer) error {
	var o apiv1.Outcome
	err := c.post(apiv1.PathOrder, apiv1.Order{
		Service:  c.Service,
		Shard:    c.Shard,
		Payload:  []byte(c.Payload),
		Ticket:   c.Ticket,
		Key:      c.Key,
		Since:    c.Since,
		Repeat:   c.Repeat,
		Attempt:  c.Attempt,
		Deadline: c.Deadline,
		Class:    c.Class,
	}, &o)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, o)
	}
	_, err = fmt.Fprintf(out, "ran at %s: %s\n", o.Target, o.Payload)
	return err
}
