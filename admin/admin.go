package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/keeper"
	"kingcupcross/meter"
	"kingcupcross/shard"
)

// Admin answers operators.
type Admin struct {
	board  *board.Board
	keeper *keeper.Keeper
	meter  *meter.Meter
}

// New returns the operators' front end of a host.
func New(b *board.Board, k *keeper.Keeper, m *meter.Meter) *Admin {
	return &Admin{
		board:  b,
		keeper: k,
		meter:  m,
	}
}

const headerTimeout = 5 * time.Second

// Server returns the HTTP server for operators.
func (a *Admin) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+apiv1.PathStatus, a.status)
	mux.Handle("GET "+apiv1.PathMetrics, a.meter.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.Status())
}

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
