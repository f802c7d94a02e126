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
	// Direct calls targets without keepers, hedges or retries.
	Direct = "direct"
	// Fixed uses keepers with fixed limits, without hedges or a choice between replicas.
	Fixed = "fixed"
	// Full uses keepers that claim their targets and adapt their limits, with hedges and a choice between replicas.
	Full = "full"
)

// Faults that are injected into a run.
const (
	NoFault = "none"
	// Straggler makes one target much slower.
	Straggler = "straggler"
	// ColdTarget restarts several targets one after the other, each of which then goes through a cold start.
	ColdTarget = "cold"
	// DrainedDatacentre drains one data centre for a third of the run.
	DrainedDatacentre = "datacentre"
)

// Plan describes one experiment: a cluster, a policy, a fault and a load.
type Plan struct {
	Size
	Policy string
	Fault  string
	// Rate is the mean number of queries per second, Time the duration of the measured run.
	Rate float64
	Time time.Duration
	// Settings holds settings, by key, that are applied to all hosts before the run. A value that isn't valid JSON is taken as a string.
	Settings map[string]string
}

// Result holds the measurements of one run.
type Result struct {
	Policy string       `json:"policy"`
	Fault  string       `json:"fault"`
	Load   *load.Report `json:"load"`
	// First counts the planned sub-requests, Extra the hedges, retries and other sub-requests in addition to them.
	First int64 `json:"first"`
	Extra int64 `json:"extra"`
	// Shed counts the requests that targets refused because all of their slots were taken.
	Shed int `json:"shed"`
}

// ExtraShare returns the number of extra sub-requests per planned one.
func (r *Result) ExtraShare() float64 {
	return float64(r.Extra) / float64(max(r.First, 1))
}

// warmupTime is the duration of the unmeasured load before the run.
const warmupTime = 2 * time.Second

// runner carries out one experiment on a running cluster.
type runner struct {
	plan    Plan
	cluster *Cluster
	// runByHost holds for each host the function that runs a query there.
	runByHost        []func(context.Context, query.Request) (*query.Answer, error)
	queryCount       atomic.Uint64
	firstSubRequests atomic.Int64
	extraSubRequests atomic.Int64
}

// Run starts a cluster, warms it up, and measures one run of the plan on it.
func Run(ctx context.Context, p Plan) (*Result, error) {
	s, err := New(p.Size, query.Policy{NoHedges: p.Policy == Fixed, IgnoreLatency: p.Policy == Fixed}, p.Policy == Full)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for key, value := range p.Settings {
		var raw any = value
		if json.Valid([]byte(value)) {
			raw = json.RawMessage(value)
		}
		if err := s.ApplySetting(key, raw); err != nil {
			return nil, err
		}
	}
	r := &runner{plan: p, cluster: s}
	for _, h := range s.Hosts {
		if p.Policy == Direct {
			r.runByHost = append(r.runByHost, newDirectRunner(s, h).run)
			continue
		}
		r.runByHost = append(r.runByHost, h.Engine.Run)
	}
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// loadPlan returns the plan of a load of the given duration. The bound on the number of arrivals is twice the expected number.
func (r *runner) loadPlan(seed uint64, d time.Duration) load.Plan {
	return load.Plan{
		Name:  r.plan.Policy + " " + r.plan.Fault,
		Rate:  r.plan.Rate,
		Count: int(2 * r.plan.Rate * d.Seconds()),
		Time:  units.Duration(d),
		Drain: units.Duration(2 * queryDeadline),
		Cap:   maxOpenQueries,
		Seed:  seed,
	}
}

// maxOpenQueries bounds the number of queries in flight.
const maxOpenQueries = 2000

// warmUp sends queries for warmupTime, so that targets and connections are warm, and resets the counters; the queries aren't measured.
func (r *runner) warmUp(ctx context.Context) error {
	_, err := load.New(r.cluster.Clock, r.loadPlan(r.plan.Seed+1, warmupTime), r.query).Run(ctx)
	r.firstSubRequests.Store(0)
	r.extraSubRequests.Store(0)
	return err
}

// measure runs the load with the plan's fault and returns the measurements.
func (r *runner) measure(ctx context.Context) (*Result, error) {
	shedBefore := r.shedRequests()
	faultCtx, cancel := context.WithCancel(ctx)
	faultResult := make(chan error, 1)
	go func() { faultResult <- r.injectFault(faultCtx) }()
	report, err := load.New(r.cluster.Clock, r.loadPlan(r.plan.Seed, r.plan.Time), r.query).Run(ctx)
	cancel()
	if errFault := <-faultResult; errFault != nil {
		return nil, errFault
	}
	if err != nil {
		return nil, err
	}
	return &Result{
		Policy: r.plan.Policy,
		Fault:  r.plan.Fault,
		Load:   report,
		First:  r.firstSubRequests.Load(),
		Extra:  r.extraSubRequests.Load(),
		Shed:   r.shedRequests() - shedBefore,
	}, nil
}

// shedRequests returns the number of requests that all targets have shed so far.
func (r *runner) shedRequests() (n int) {
	for _, t := range r.cluster.Targets {
		n += t.Stats().Excess
	}
	return n
}

// query sends a query to the hosts in rotation. Hosts in a drained data centre are skipped, as the platform's load balancer would.
func (r *runner) query(ctx context.Context) load.Outcome {
	n := int(r.queryCount.Add(1))
	q := query.Request{Service: Service, Payload: fmt.Appendf(nil, "query %d", n), Coverage: 0}
	for i := range r.cluster.Hosts {
		k := (n + i) % len(r.cluster.Hosts)
		if r.cluster.Hosts[k].Board.SelfOutOfService() {
			continue
		}
		a, err := r.runByHost[k](ctx, q)
		if err != nil {
			return load.Outcome{Refused: fault.Of(err).Kind.String()}
		}
		r.firstSubRequests.Add(int64(a.SubRequests.First))
		r.extraSubRequests.Add(int64(a.SubRequests.Extra()))
		return load.Outcome{
			Wrong:    r.hasWrongPart(a, q.Payload),
			Shards:   a.ShardCount,
			Answered: len(a.Parts),
		}
	}
	return load.Outcome{Lost: true}
}

// hasWrongPart reports whether a part differs from what every replica of its shard answers to this query at the answer's snapshot,
// or whether parts and missing shards don't add up to all shards. The direct policy doesn't list missing shards.
func (r *runner) hasWrongPart(a *query.Answer, payload []byte) bool {
	for s, p := range a.Parts {
		if !bytes.Equal(p, emul.PartPayload(Service, a.Snapshot, s, payload)) {
			return true
		}
	}
	return len(a.Parts)+len(a.Missing) != a.ShardCount && r.plan.Policy != Direct
}

const (
	// stragglerFactor is the factor by which the fault Straggler multiplies a target's service times.
	stragglerFactor = 20
	// coldRestarts is the number of targets that the fault ColdTarget restarts in one run.
	coldRestarts = 4
)

// injectFault injects the plan's fault. It returns when no further step of the fault is left or ctx ends.
func (r *runner) injectFault(ctx context.Context) error {
	switch r.plan.Fault {
	case NoFault:
		return nil
	case Straggler:
		r.cluster.Targets[0].SetFaults(emul.TargetFaults{Factor: stragglerFactor})
		return nil
	case ColdTarget:
		for i := range coldRestarts {
			if r.cluster.Clock.Sleep(ctx, r.plan.Time/(coldRestarts+1)) != nil {
				return nil
			}
			r.cluster.Targets[i].Restart()
		}
		return nil
	case DrainedDatacentre:
		return r.cycleDatacentre(ctx)
	default:
		return eris.Errorf("unknown fault %q: use one of %v", r.plan.Fault, Faults())
	}
}

// cycleDatacentre drains a data centre after a third of the run and brings it back after two thirds.
func (r *runner) cycleDatacentre(ctx context.Context) error {
	for _, out := range [][]string{{places[0].Datacentre}, {}} {
		if r.cluster.Clock.Sleep(ctx, r.plan.Time/3) != nil {
			return nil
		}
		if err := r.cluster.ApplySetting("out", out); err != nil {
			return err
		}
	}
	return nil
}

// Faults returns the names of all faults, NoFault first.
func Faults() []string {
	return slices.Clone([]string{NoFault, Straggler, ColdTarget, DrainedDatacentre})
}
