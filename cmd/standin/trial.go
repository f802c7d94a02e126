package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"kingcupcross/trial"
	"kingcupcross/units"
)

// trialCmd runs a trial for each combination of policy and fault.
type trialCmd struct {
	Policies []string          `default:"direct,fixed,full" help:"Policies to compare: direct, fixed, full."`
	Faults   []string          `default:"none,straggler,cold,datacentre" help:"Faults to run under: none, straggler, cold, datacentre."`
	Rate     float64           `default:"60" help:"Queries per second."`
	Time     units.Duration    `default:"20s" help:"Length of each run."`
	Hosts    int               `default:"3" help:"Hosts in each data centre."`
	Targets  int               `default:"50" help:"Targets in all."`
	Shards   int               `default:"100" help:"Shards of the service."`
	Slots    int               `default:"3" help:"Slots of each target."`
	Conns    int               `default:"100" help:"Connections of each target."`
	Warmup   int               `default:"20" help:"Requests after which a target is warm."`
	Median   units.Duration    `default:"5ms" help:"Median time of a request at a target."`
	Spread   float64           `default:"0.3" help:"Standard deviation of the logarithm of the times."`
	Seed     uint64            `default:"1" help:"Seed of arrivals and times."`
	Set      map[string]string `help:"Settings in force, as key=value."`
	JSON     bool              `help:"Write the results as JSON."`
}

// Run runs the trials one after the other and prints their results; SIGINT or SIGTERM cancels them.
func (c *trialCmd) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var results []*trial.Result
	for _, policy := range c.Policies {
		for _, f := range c.Faults {
			r, err := trial.Run(ctx, c.plan(policy, f))
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	if c.JSON {
		return eris.Wrap(json.NewEncoder(os.Stdout).Encode(results), "write results")
	}
	return trial.Write(os.Stdout, results)
}

// plan returns the trial of one policy under one fault.
func (c *trialCmd) plan(policy, f string) trial.Plan {
	return trial.Plan{
		Size: trial.Size{
			Hosts:   c.Hosts,
			Targets: c.Targets,
			Shards:  c.Shards,
			Slots:   c.Slots,
			Conns:   c.Conns,
			Warmup:  c.Warmup,
			Median:  c.Median.D(),
			Spread:  c.Spread,
			Seed:    c.Seed,
		},
		Policy:   policy,
		Fault:    f,
		Rate:     c.Rate,
		Time:     c.Time.D(),
		Settings: c.Set,
	}
}
