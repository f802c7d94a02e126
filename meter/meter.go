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

const flushPeriod = time.Second

// Meter is the root of a host's metrics.
type Meter struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of one host; Close ends their reporting.
func New() *Meter {
	// A registry of its own lets several hosts run in one process.
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

// Handler shows the metrics in the Prometheus text form.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close ends the reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}
