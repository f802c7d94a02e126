package cmds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

// LoadCmd sends queries at random times that don't wait for answers.
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

// Run carries out the run and prints its report; an interrupt ends it early.
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
	s := newSender(c)
	defer s.client.CloseIdleConnections()
	r := load.New(timer.New(), c.plan(), s.send)
	if !c.Quiet {
		r.Progress = func(p load.Progress) { fmt.Fprintln(progress, p) }
	}
	report, err := r.Run(ctx)
	if err != nil {
		return err
	}
	return c.show(out, report, earlier)
}

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

func (c *LoadCmd) show(out io.Writer, report, earlier *load.Report) error {
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

// unreachable is the kind of a query that couldn't be sent to its host.
const unreachable = "unreachable"

// sender sends the queries of one run.
type sender struct {
	command *LoadCmd
	client  *http.Client
	serial  atomic.Uint64
}

func newSender(c *LoadCmd) *sender {
	return &sender{
		command: c,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        c.Cap,
			MaxIdleConnsPerHost: c.Cap,
		}},
	}
}

func (s *sender) send(ctx context.Context) load.Outcome {
	n := s.serial.Add(1)
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
	err := ask(ctx, s.client, c.Host[n%uint64(len(c.Host))], apiv1.PathQuery, q, &a)
	if err != nil {
		return outcomeOf(err)
	}
	return load.Outcome{
		Wrong:    !s.right(q, a),
		Shards:   a.Shards,
		Answered: a.Answered,
		First:    a.First,
		Extra:    a.Extra,
	}
}

func outcomeOf(err error) load.Outcome {
	var f *fault.Error
	if errors.As(err, &f) {
		return load.Outcome{Refused: f.Kind.String()}
	}
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return load.Outcome{Refused: unreachable}
	}
	return load.Outcome{Lost: true}
}

// right reports whether an answer is one to the query and counts its shards truthfully.
func (s *sender) right(q apiv1.Query, a apiv1.Answer) bool {
	if a.Service != q.Service || len(a.Parts) != a.Answered || a.Answered+len(a.Missing) != a.Shards {
		return false
	}
	seen := make(map[int]bool, a.Shards)
	for _, m := range a.Missing {
		seen[m.Shard] = true
	}
	for _, p := range a.Parts {
		seen[p.Shard] = true
		if s.command.Check == "standin" && !bytes.Equal(p.Payload, emul.Payload(q.Service, a.Snapshot, p.Shard, q.Payload)) {
			return false
		}
	}
	return len(seen) == a.Shards
}
