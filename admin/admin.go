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

// Admin answers operators.
type Admin struct {
	board  *board.Board
	keeper *keeper.Keeper
	meter  *meter.Meter
	logs   *logs.Logs
	log    *zap.Logger
	// explain says how a query of a service would be routed; it fails with a fault.Error.
	explain func(service string) (*query.Explanation, error)
}

// New returns the operators' front end of a host; explain says how a query of a service would be routed.
func New(b *board.Board, k *keeper.Keeper, m *meter.Meter, l *logs.Logs, explain func(service string) (*query.Explanation, error)) *Admin {
	return &Admin{
		board:   b,
		keeper:  k,
		meter:   m,
		logs:    l,
		log:     l.For("admin"),
		explain: explain,
	}
}

const headerTimeout = 5 * time.Second

// Server returns the HTTP server for operators.
func (a *Admin) Server() *http.Server {
	return &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
}

// Handler returns the routes of the operators' interface.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+apiv1.PathStatus, func(w http.ResponseWriter, _ *http.Request) { answer(w, a.Status()) })
	mux.HandleFunc("GET "+apiv1.PathExplain, a.route)
	mux.HandleFunc("GET "+apiv1.PathLogs, func(w http.ResponseWriter, _ *http.Request) { a.sendLevels(w) })
	mux.HandleFunc("PUT "+apiv1.PathLogs, a.setLevels)
	mux.Handle("GET "+apiv1.PathMetrics, a.meter.Handler())
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, err error) {
	f := fault.Of(err)
	row := fault.Answer(f.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.Status)
	json.NewEncoder(w).Encode(apiv1.Failure{
		Kind:   row.Name,
		NotRun: f.NotRun(),
		Retry:  units.Duration(f.Wait()),
		Text:   f.Text,
	})
}

// route says how a query would be routed.
func (a *Admin) route(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	e, err := a.explain(service)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, a.explanation(service, e))
}

func (a *Admin) explanation(service string, e *query.Explanation) apiv1.Explanation {
	out := apiv1.Explanation{
		Service:  service,
		Host:     a.board.Self.Name,
		Snapshot: e.Snapshot,
		Change:   e.Change,
	}
	for _, r := range e.Routes {
		shard := apiv1.Route{Shard: r.Shard}
		for _, c := range r.Replicas {
			shard.Replicas = append(shard.Replicas, apiv1.Replica(c))
		}
		out.Shards = append(out.Shards, shard)
	}
	return out
}

func (a *Admin) sendLevels(w http.ResponseWriter) {
	answer(w, apiv1.LogLevels{Levels: a.logs.Levels()})
}

// setLevels changes the levels of some subsystems until the host's next start.
func (a *Admin) setLevels(w http.ResponseWriter, r *http.Request) {
	var in apiv1.LogLevels
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLevels)).Decode(&in); err != nil {
		fail(w, fault.New(fault.Invalid, "%v", err))
		return
	}
	if err := a.logs.Set(in.Levels); err != nil {
		fail(w, fault.New(fault.Invalid, "%v", err))
		return
	}
	a.log.Info("log levels changed", zap.Any("levels", in.Levels))
	a.sendLevels(w)
}

// maxLevels bounds the body of a change of log levels in bytes.
const maxLevels = 1 << 16

// Status describes this host.
func (a *Admin) Status() apiv1.Status {
	settings := a.board.Tree.Load()
	s := apiv1.Status{
		Host:     a.board.Self,
		Ready:    a.board.Phase() == board.Ready,
		Change:   settings.N,
		ChangeID: settings.Last,
		Peers:    []apiv1.Peer{},
		Kept:     []apiv1.Kept{},
		Maps:     map[string]shard.Snapshot{},
		Out:      settings.ForRegion(a.board.Self.Region).Out,
	}
	for _, m := range a.board.View.Load().Members {
		s.Peers = append(s.Peers, apiv1.Peer{Member: m, Phase: m.State.String()})
	}
	slices.SortFunc(s.Peers, func(a, b apiv1.Peer) int { return strings.Compare(a.Name, b.Name) })
	for _, k := range a.keeper.Gates() {
		s.Kept = append(s.Kept, apiv1.Kept(k))
	}
	slices.SortFunc(s.Kept, func(a, b apiv1.Kept) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	for service, m := range *a.board.Maps.Load() {
		s.Maps[service] = m.Snapshot()
	}
	return s
}
