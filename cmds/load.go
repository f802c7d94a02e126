package cmds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"

	"kingcupcross/apiv1"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/load"
	"kingcupcross/timer"
	"kingcupcross/units"
)

// LoadCmd runs an open-loop load test: queries are sent at random times, independent of the answers.
type LoadCmd struct {
	Host     []netip.AddrPort `required:"" env:"KINGCUPCROSS_HOST" help:"Callers' addresses of the hosts; queries go to them in turn."`
	Service  string           `arg:"" help:"The service."`
	Payload  string           `default:"load" help:"The query's text; each query's number is added."`
	Deadline units.Duration   `help:"Time for an answer, such as 150ms; the service's own by default."`
	Coverage float64          `default:"-1" help:"Share of shards wanted at least; the service's own by default."`
	Class    string           `default:"routine" enum:"recall,routine,bulk" help:"Class of the queries: ${enum}."`

	Rate  float64        `default:"50" help:"Mean number of arrivals a second."`
	Count int            `default:"1000" help:"Largest number of arrivals."`
	Time  units.Duration `default:"30s" help:"Longest time in which arrivals fall."`
	Drain units.Duration `default:"5s" help:"Time for open queries after that; the others count as lost."`
	Cap   int            `default:"256" help:"Largest number of queries in flight; what waits for room counts as latency."`
	Seed  uint64         `default:"1" help:"Seed of the arrival times."`

	Check   string `default:"form" enum:"form,standin" help:"Check of answers: form counts shards, standin also compares each payload with what stand-in targets answer."`
	Name    string `default:"run" help:"Name of the run."`
	Save    string `type:"path" help:"File to save the run to, as JSON."`
	Compare string `type:"existingfile" help:"File of an earlier run to compare with."`
	JSON    bool   `help:"Print JSON."`
	Quiet   bool   `help:"Show no progress."`
}

// Run runs the load test and prints its report; SIGINT or SIGTERM ends it early.
func (c *LoadCmd) Run(out io.Writer, progress Progress) error {
	var earlier *load.Report
	if c.Compare != "" {
		var err error
		if earlier, err = load.Read(c.Compare); err != nil {
			return err
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s := newQuerySender(c)
	defer s.client.http.CloseIdleConnections()
	r := load.New(timer.New(), c.plan(), s.send)
	if !c.Quiet {
		r.Progress = func(p load.Progress) { fmt.Fprintln(progress, p) }
	}
	report, err := r.Run(ctx)
	if err != nil {
		return err
	}
	return c.writeReport(out, report, earlier)
}

// plan returns the plan of the run from the flags.
func (c *LoadCmd) plan() load.Plan {
	return load.Plan{
		Name:  c.Name,
		Rate:  c.Rate,
		Count: c.Count,
		Time:  c.Time,
		Drain: c.Drain,
		Cap:   c.Cap,
		Seed:  c.Seed,
	}
}

// writeReport saves the report if asked to and prints it, as JSON, as a comparison with the earlier report, or alone.
func (c *LoadCmd) writeReport(out io.Writer, report, earlier *load.Report) error {
	if c.Save != "" {
		if err := report.Save(c.Save); err != nil {
			return err
		}
	}
	switch {
	case c.JSON:
		return printJSON(out, report)
	case earlier != nil:
		return report.Compare(out, earlier)
	default:
		return report.Print(out)
	}
}

// refusalUnreachable is the refusal kind of a query whose host could not be dialled.
const refusalUnreachable = "unreachable"

// querySender sends the queries of one load test.
type querySender struct {
	command *LoadCmd
	client  *client
	sent    atomic.Uint64
}

// loadMemory is the memory in bytes for the bodies of all answers that a load test is receiving.
const loadMemory = 256 << 20

// newQuerySender returns a sender whose HTTP client keeps up to Cap idle connections, so that it reuses connections instead of opening one for each query.
func newQuerySender(c *LoadCmd) *querySender {
	return &querySender{
		command: c,
		client:  newClient(c.Cap, loadMemory),
	}
}

// send sends the next numbered query, to the hosts in rotation, and returns its outcome.
func (s *querySender) send(ctx context.Context) load.Outcome {
	n := s.sent.Add(1)
	c := s.command
	q := apiv1.Query{
		Service:  c.Service,
		Payload:  []byte(c.Payload + " " + strconv.FormatUint(n, 10)),
		Deadline: c.Deadline,
		Class:    c.Class,
	}
	if c.Coverage >= 0 {
		q.Coverage = &c.Coverage
	}
	var a apiv1.Answer
	err := postJSON(ctx, s.client, c.Host[n%uint64(len(c.Host))], apiv1.PathQuery, q, &a)
	if err != nil {
		return outcomeFromError(err)
	}
	return load.Outcome{
		Wrong:    !s.isCorrect(q, a),
		Shards:   a.Shards,
		Answered: a.Answered,
		First:    a.First,
		Extra:    a.Extra,
	}
}

// outcomeFromError returns the outcome of a failed query: refused if a host refused it or could not be dialled, otherwise lost.
func outcomeFromError(err error) load.Outcome {
	var f *fault.Error
	if errors.As(err, &f) {
		return load.Outcome{Refused: f.Kind.String()}
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return load.Outcome{Refused: refusalUnreachable}
	}
	return load.Outcome{Lost: true}
}

// isCorrect reports whether an answer names the query's service and its counts match its parts and missing shards. With the check standin, it also compares each payload with the one that emulated targets answer.
func (s *querySender) isCorrect(q apiv1.Query, a apiv1.Answer) bool {
	if a.Service != q.Service || len(a.Parts) != a.Answered || a.Answered+len(a.Missing) != a.Shards {
		return false
	}
	seen := make(map[int]bool, a.Shards)
	for _, m := range a.Missing {
		seen[m.Shard] = true
	}
	for _, p := range a.Parts {
		seen[p.Shard] = true
		if s.command.Check == "standin" && !bytes.Equal(p.Payload, emul.PartPayload(q.Service, a.Snapshot, p.Shard, q.Payload)) {
			return false
		}
	}
	return len(seen) == a.Shards
}
