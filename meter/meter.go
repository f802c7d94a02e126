package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// flushPeriod is the time between two updates of the exported values.
const flushPeriod = time.Second

// Meter holds the root scope of a host's metrics and the handler that exports them.
type Meter struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of one host; Close stops their reporting.
func New() *Meter {
	// The host has its own registry, so that several hosts can run in one process.
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "kingcupcross",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, flushPeriod)
	return &Meter{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close stops the reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}
