package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/logs"
	"kingcupcross/meter"
	"kingcupcross/query"
	"kingcupcross/shard"
	"kingcupcross/units"
)

// Admin serves status, routing explanations, log levels and metrics of one host to operators.
type Admin struct {
	board  *board.State
	keeper *keeper.Keeper
	meter  *meter.Meter
	logs   *logs.Logs
	log    *zap.Logger
	// explain returns how a query to a service would be routed; its errors are fault.Error.
	explain func(service string) (*query.Explanation, error)
}

// New returns the operator interface of a host; explain returns how a query to a service would be routed.
func New(b *board.State, k *keeper.Keeper, m *meter.Meter, l *logs.Logs, explain func(service string) (*query.Explanation, error)) *Admin {
	return &Admin{
		board:   b,
		keeper:  k,
		meter:   m,
		logs:    l,
		log:     l.For("admin"),
		explain: explain,
	}
}

// readHeaderTimeout bounds the time that a client may take to send its request headers.
const readHeaderTimeout = 5 * time.Second

// Server returns an HTTP server for the operator interface.
func (a *Admin) Server() *http.Server {
	return &http.Server{Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout}
}

// Handler returns the handler of all paths of the operator interface.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+apiv1.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Status()) })
	mux.HandleFunc("GET "+apiv1.PathExplain, a.handleExplain)
	mux.HandleFunc("GET "+apiv1.PathLogs, func(w http.ResponseWriter, _ *http.Request) { a.writeLevels(w) })
	mux.HandleFunc("PUT "+apiv1.PathLogs, a.handleSetLevels)
	mux.Handle("GET "+apiv1.PathMetrics, a.meter.Handler())
	return mux
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// writeError writes an error as an apiv1.Failure with the status of its kind.
func writeError(w http.ResponseWriter, err error) {
	f := fault.Of(err)
	refusal := fault.Describe(f.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status)
	json.NewEncoder(w).Encode(apiv1.Failure{
		Kind:   refusal.Name,
		NotRun: f.NotRun(),
		Retry:  units.Duration(f.RetryAfter()),
		Text:   f.Text,
	})
}

// handleExplain responds with the routing of a query to the service given in the URL.
func (a *Admin) handleExplain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	e, err := a.explain(service)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, a.newExplanation(service, e))
}

// newExplanation converts a query.Explanation to its form in the API.
func (a *Admin) newExplanation(service string, e *query.Explanation) apiv1.Explanation {
	out := apiv1.Explanation{
		Service:  service,
		Host:     a.board.Self.Name,
		Snapshot: e.Snapshot,
		Change:   e.Change,
	}
	for _, r := range e.Routes {
		route := apiv1.Route{Shard: r.Shard}
		for _, c := range r.Replicas {
			route.Replicas = append(route.Replicas, apiv1.Replica(c))
		}
		out.Shards = append(out.Shards, route)
	}
	return out
}

// writeLevels responds with the current log levels of all subsystems.
func (a *Admin) writeLevels(w http.ResponseWriter) {
	writeJSON(w, apiv1.LogLevels{Levels: a.logs.Levels()})
}

// handleSetLevels changes the log levels of the given subsystems. The change is lost when the host restarts.
func (a *Admin) handleSetLevels(w http.ResponseWriter, r *http.Request) {
	var in apiv1.LogLevels
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLevelsBytes)).Decode(&in); err != nil {
		writeError(w, fault.New(fault.Invalid, "%v", err))
		return
	}
	if err := a.logs.Set(in.Levels); err != nil {
		writeError(w, fault.New(fault.Invalid, "%v", err))
		return
	}
	a.log.Info("log levels changed", zap.Any("levels", in.Levels))
	a.writeLevels(w)
}

// maxLevelsBytes is the maximum size of the body of a request that changes log levels.
const maxLevelsBytes = 1 << 16

// Status returns the state of this host and its view of peers, targets and shard maps.
func (a *Admin) Status() apiv1.Status {
	settings := a.board.Tree.Load()
	s := apiv1.Status{
		Host:     a.board.Self,
		Ready:    a.board.Phase() == board.Ready,
		Change:   settings.ChangeNumber,
		ChangeID: settings.LastChangeID,
		Peers:    []apiv1.Peer{},
		Kept:     []apiv1.TargetStatus{},
		Maps:     map[string]shard.Snapshot{},
		Out:      settings.ForRegion(a.board.Self.Region).Out,
	}
	for _, m := range a.board.Membership.Load().Members {
		s.Peers = append(s.Peers, apiv1.Peer{Member: m, Phase: m.State.String()})
	}
	slices.SortFunc(s.Peers, func(a, b apiv1.Peer) int { return strings.Compare(a.Name, b.Name) })
	for _, k := range a.keeper.TargetStatuses() {
		s.Kept = append(s.Kept, apiv1.TargetStatus(k))
	}
	slices.SortFunc(s.Kept, func(a, b apiv1.TargetStatus) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	for service, m := range *a.board.ShardMaps.Load() {
		s.Maps[service] = m.Snapshot()
	}
	return s
}
