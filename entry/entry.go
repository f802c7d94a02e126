package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/order"
	"kingcupcross/query"
	"kingcupcross/timer"
	"kingcupcross/units"
)

// maxBody bounds a request's body before its service is known: the largest payload that settings allow, in base64, with its frame.
const maxBody = 6 * int64(units.MiB)

// Entry answers callers.
type Entry struct {
	clock  *timer.Service
	board  *board.Board
	engine *query.Engine
	book   *order.Book
	log    *zap.Logger
	scope  tally.Scope
	serial atomic.Uint64
	open   atomic.Int64
}

// New returns the callers' front end of a host.
func New(clock *timer.Service, b *board.Board, engine *query.Engine, book *order.Book, log *zap.Logger, scope tally.Scope) *Entry {
	return &Entry{
		clock:  clock,
		board:  b,
		engine: engine,
		book:   book,
		log:    log,
		scope:  scope,
	}
}

// Handler returns the routes of the callers' interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+apiv1.PathQuery, e.admit(e.query))
	mux.HandleFunc("POST "+apiv1.PathOrder, e.admit(e.order))
	mux.HandleFunc("POST "+apiv1.PathTickets, e.admit(e.tickets))
	mux.HandleFunc("GET "+apiv1.PathReady, e.ready)
	return mux
}

// Open returns the number of requests in flight.
func (e *Entry) Open() int64 {
	return e.open.Load()
}

type handler func(ctx context.Context, id string, body []byte) (any, error)

// admit refuses new requests where this host must not take them and answers in one form whatever the handler returns.
func (e *Entry) admit(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.open.Add(1)
		defer e.open.Add(-1)
		id := fmt.Sprintf("%s/%d", e.board.Self.HostID, e.serial.Add(1))
		answer, err := e.handle(w, r, h, id)
		if err != nil {
			e.fail(w, id, fault.Of(err))
			return
		}
		send(w, http.StatusOK, answer)
	}
}

func (e *Entry) handle(w http.ResponseWriter, r *http.Request, h handler, id string) (any, error) {
	if f := e.refuse(); f != nil {
		return nil, f
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", maxBody)
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "the body could not be read: %v", err)
	}
	return h(r.Context(), id, body)
}

func (e *Entry) refuse() *fault.Error {
	switch {
	case e.board.Phase() == board.Starting:
		return fault.New(fault.Starting, "no settings are in force at %s", e.board.Self.Name)
	case e.board.Phase() == board.Leaving:
		return fault.New(fault.Leaving, "%s is leaving", e.board.Self.Name)
	case e.board.SelfOut():
		return fault.New(fault.Out, "data centre %s is out of service", e.board.Self.Datacentre)
	default:
		return nil
	}
}

func (e *Entry) checkSize(service string, payload []byte) *fault.Error {
	limit := e.board.Tree.Load().For(e.board.Self.Region, service).Body
	if units.Size(len(payload)) > limit {
		return fault.New(fault.TooLarge, "the payload has %d bytes, %s accepts %s", len(payload), service, limit)
	}
	return nil
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if f := e.refuse(); f != nil {
		e.fail(w, "", f)
		return
	}
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, "ready\n")
}

// fail sends the final answer for a request that is given up on, with when to come back.
func (e *Entry) fail(w http.ResponseWriter, id string, f *fault.Error) {
	row := fault.Answer(f.Kind)
	e.scope.Tagged(map[string]string{"kind": row.Name}).Counter("refused").Inc(1)
	if wait := f.Wait(); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	send(w, row.Status, apiv1.Failure{
		ID:     id,
		Kind:   row.Name,
		NotRun: f.NotRun(),
		Retry:  units.Duration(f.Wait()),
		Text:   f.Text,
	})
}

// send writes the body with its length and checksum, so that an answer cut short never passes as whole.
func send(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(apiv1.SumHeader, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.WriteHeader(status)
	w.Write(body)
}

// Timeouts of the callers' server.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
)

// Server returns the HTTP server for callers, with HTTP/1.1 and HTTP/2 without encryption.
func (e *Entry) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           e.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}
