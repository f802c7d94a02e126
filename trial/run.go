package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/load"
	"kingcupcross/query"
	"kingcupcross/units"
)

// Policies that are compared.
const (
	Direct = "direct"
	Fixed  = "fixed"
	Full   = "full"
)

// Faults that a run is made under.
const (
	NoFault    = "none"
	Straggler  = "straggler"
	ColdTarget = "cold"
	Leaving    = "datacentre"
)

// Plan is one experiment.
type Plan struct {
	Size
	Policy string
	Fault  string
	// Rate is the number of queries per second, Time the length of the run.
	Rate float64
	Time time.Duration
	// Settings are put in force before the run.
	Settings map[string]string
}

// Result is what one run measured.
type Result struct {
	Policy string       `json:"policy"`
	Fault  string       `json:"fault"`
	Load   *load.Report `json:"load"`
	// First counts the sub-requests of the plans and Extra those on top.
	First int64 `json:"first"`
	Extra int64 `json:"extra"`
	// Shed counts the requests that came to targets which bore no more.
	Shed int `json:"shed"`
}

// ExtraShare returns the extra load as a share of the planned sub-requests.
func (r *Result) ExtraShare() float64 {
	return float64(r.Extra) / float64(max(r.First, 1))
}

// warmTime is the part of a run before the fault; its queries are measured as well.
const warmTime = 2 * time.Second

type runner struct {
	plan   Plan
	site   *Site
	run    []func(context.Context, query.Request) (*query.Answer, error)
	serial atomic.Uint64
	first  atomic.Int64
	extra  atomic.Int64
}

// Run makes one experiment.
func Run(ctx context.Context, p Plan) (*Result, error) {
	s, err := New(p.Size, query.Policy{NoHedges: p.Policy == Fixed, NoChoice: p.Policy == Fixed}, p.Policy == Full)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for key, value := range p.Settings {
		var raw any = value
		if json.Valid([]byte(value)) {
			raw = json.RawMessage(value)
		}
		if err := s.Change(key, raw); err != nil {
			return nil, err
		}
	}
	r := &runner{plan: p, site: s}
	for _, h := range s.Hosts {
		if p.Policy == Direct {
			r.run = append(r.run, newDirect(s, h).run)
			continue
		}
		r.run = append(r.run, h.Engine.Run)
	}
	if err := r.warm(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

func (r *runner) loadPlan(seed uint64, d time.Duration) load.Plan {
	return load.Plan{
		Name:  r.plan.Policy + " " + r.plan.Fault,
		Rate:  r.plan.Rate,
		Count: int(2 * r.plan.Rate * d.Seconds()),
		Time:  units.Duration(d),
		Drain: units.Duration(2 * deadline),
		Cap:   maxOpen,
		Seed:  seed,
	}
}

const maxOpen = 2000

// warm sends queries until targets and connections are warm; they aren't measured.
func (r *runner) warm(ctx context.Context) error {
	_, err := load.New(r.site.Clock, r.loadPlan(r.plan.Seed+1, warmTime), r.query).Run(ctx)
	r.first.Store(0)
	r.extra.Store(0)
	return err
}

func (r *runner) measure(ctx context.Context) (*Result, error) {
	shed := r.shed()
	faultCtx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- r.fault(faultCtx) }()
	report, err := load.New(r.site.Clock, r.loadPlan(r.plan.Seed, r.plan.Time), r.query).Run(ctx)
	cancel()
	if failed := <-ended; failed != nil {
		return nil, failed
	}
	if err != nil {
		return nil, err
	}
	return &Result{
		Policy: r.plan.Policy,
		Fault:  r.plan.Fault,
		Load:   report,
		First:  r.first.Load(),
		Extra:  r.extra.Load(),
		Shed:   r.shed() - shed,
	}, nil
}

func (r *runner) shed() (n int) {
	for _, t := range r.site.Targets {
		n += t.Witness().Excess
	}
	return n
}

// query asks hosts in turn; one that refuses because its data centre is out is passed over, as by the platform's balancer.
func (r *runner) query(ctx context.Context) load.Outcome {
	n := int(r.serial.Add(1))
	q := query.Request{Service: Service, Payload: fmt.Appendf(nil, "query %d", n), Coverage: 0}
	for i := range r.site.Hosts {
		k := (n + i) % len(r.site.Hosts)
		if r.site.Hosts[k].Board.SelfOutOfService() {
			continue
		}
		a, err := r.run[k](ctx, q)
		if err != nil {
			return load.Outcome{Refused: fault.Of(err).Kind.String()}
		}
		r.first.Add(int64(a.Load.First))
		r.extra.Add(int64(a.Load.Extra()))
		return load.Outcome{
			Wrong:    r.wrong(a, q.Payload),
			Shards:   a.Total,
			Answered: len(a.Parts),
		}
	}
	return load.Outcome{Lost: true}
}

// wrong compares each part with what every replica of the shard answers to this query at the answer's snapshot.
func (r *runner) wrong(a *query.Answer, text []byte) bool {
	for s, p := range a.Parts {
		if !bytes.Equal(p, emul.Payload(Service, a.Snapshot, s, text)) {
			return true
		}
	}
	return len(a.Parts)+len(a.Missing) != a.Total && r.plan.Policy != Direct
}

const (
	// slowFactor is how much slower the straggler is.
	slowFactor = 20
	// coldTimes is how often a target turns cold in one run.
	coldTimes = 4
)

// fault brings about the run's fault.
func (r *runner) fault(ctx context.Context) error {
	switch r.plan.Fault {
	case NoFault:
		return nil
	case Straggler:
		r.site.Targets[0].SetFaults(emul.TargetFaults{Factor: slowFactor})
		return nil
	case ColdTarget:
		for i := range coldTimes {
			if r.site.Clock.Sleep(ctx, r.plan.Time/(coldTimes+1)) != nil {
				return nil
			}
			r.site.Targets[i].Restart()
		}
		return nil
	case Leaving:
		return r.leave(ctx)
	default:
		return eris.Errorf("%q is no fault: use one of %v", r.plan.Fault, Faults())
	}
}

// leave takes a data centre out after a third of the run and brings it back after two thirds.
func (r *runner) leave(ctx context.Context) error {
	for _, out := range [][]string{{places[0].Datacentre}, {}} {
		if r.site.Clock.Sleep(ctx, r.plan.Time/3) != nil {
			return nil
		}
		if err := r.site.Change("out", out); err != nil {
			return err
		}
	}
	return nil
}

// Faults returns the faults in the order of the reports.
func Faults() []string {
	return slices.Clone([]string{NoFault, Straggler, ColdTarget, Leaving})
}
