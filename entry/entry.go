package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
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

// maxBodyBytes limits the body of a request before its service is known: the largest payload that the settings allow, in
// base64, with the JSON around it.
const maxBodyBytes = 6 * int64(units.MiB)

// API serves the HTTP API for callers.
type API struct {
	clock         *timer.Clock
	board         *board.State
	engine        *query.Engine
	book          *order.Book
	log           *zap.Logger
	scope         tally.Scope
	lastRequestID atomic.Uint64
	// inFlight is the number of requests in flight.
	inFlight atomic.Int64
	// bodyTimeout limits the time that reading a request's body may take; tests shorten it.
	bodyTimeout time.Duration
}

// New returns the API of a host, with queries run by engine and orders by book.
func New(clock *timer.Clock, b *board.State, engine *query.Engine, book *order.Book, log *zap.Logger, scope tally.Scope) *API {
	return &API{
		clock:       clock,
		board:       b,
		engine:      engine,
		book:        book,
		log:         log,
		scope:       scope,
		bodyTimeout: bodyTimeout,
	}
}

// Handler returns the handler of all paths of the API.
func (e *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+apiv1.PathQuery, e.handle(e.handleQuery, unchanged))
	mux.HandleFunc("POST "+apiv1.PathOrder, e.handle(e.handleOrder, order.AsMayHaveRun))
	mux.HandleFunc("POST "+apiv1.PathTickets, e.handle(e.handleTickets, unchanged))
	mux.HandleFunc("GET "+apiv1.PathReady, e.handleReady)
	return mux
}

// InFlight returns the number of requests in flight.
func (e *API) InFlight() int64 {
	return e.inFlight.Load()
}

// request is an HTTP request as passed to a handler.
type request struct {
	id   string
	body []byte
	// refusal is the fault with which the host refused new requests when this one arrived, or nil.
	refusal *fault.Error
}

// handler returns the answer to a request, or an error that is usually a *fault.Error.
type handler func(ctx context.Context, r request) (any, error)

// unchanged returns the fault as it is, for requests of which nothing can have run if their body could not be read.
func unchanged(f *fault.Error) *fault.Error {
	return f
}

// handle wraps a handler: it reads the whole request body and writes the handler's answer or error as JSON. If the body
// can't be read, readFault adjusts the fault: an order may be a repeat of one that has run, so its fault must not say that
// nothing ran.
func (e *API) handle(h handler, readFault func(*fault.Error) *fault.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.board.Phase() >= board.Leaving {
			// Each connection ends with its next answer, so that none has to be closed while a caller uses it.
			w.Header().Set("Connection", "close")
		}
		id := fmt.Sprintf("%s/%d", e.board.Self.HostID, e.lastRequestID.Add(1))
		q := request{id: id, refusal: e.refusal()}
		body, f := e.readBody(w, r)
		var answer any
		var err error
		if f != nil {
			err = readFault(f)
		} else {
			q.body = body
			answer, err = h(r.Context(), q)
		}
		e.setDeadline(http.NewResponseController(w).SetWriteDeadline, answerTimeout)
		if err != nil {
			e.writeFailure(w, id, err)
			return
		}
		e.scope.Counter("answered").Inc(1)
		writeJSON(w, http.StatusOK, answer)
	}
}

// setDeadline sets a deadline of a connection, or clears it if d is zero. If that fails, the connection only lacks the
// protection against slow callers, so the error is just counted.
func (e *API) setDeadline(set func(time.Time) error, d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = e.clock.Now().Add(d)
	}
	if set(deadline) != nil {
		e.scope.Counter("unlimited").Inc(1)
	}
}

// readBody reads the whole body of a request and verifies its checksum if the request has one.
func (e *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	controller := http.NewResponseController(w)
	e.setDeadline(controller.SetWriteDeadline, 0)
	e.setDeadline(controller.SetReadDeadline, e.bodyTimeout)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// A read deadline that passes while the request is handled would cancel it.
	e.setDeadline(controller.SetReadDeadline, 0)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", maxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.scope.Counter("slowbodies").Inc(1)
		return nil, fault.New(fault.TooLate, "the body didn't come within %s", e.bodyTimeout)
	case err != nil:
		return nil, fault.New(fault.Invalid, "the body could not be read: %v", err)
	}
	if sum := r.Header.Get(apiv1.ChecksumHeader); sum != "" && sum != checksum(body) {
		return nil, fault.New(fault.Invalid, "the body doesn't match its checksum %q", sum)
	}
	return body, nil
}

// refusal returns the fault with which this host refuses new requests, or nil.
func (e *API) refusal() *fault.Error {
	switch {
	case e.board.Phase() == board.Starting:
		return fault.New(fault.Starting, "no settings are in force at %s", e.board.Self.Name)
	case e.board.Phase() == board.Closed:
		return fault.New(fault.Leaving, "%s is leaving", e.board.Self.Name)
	case e.board.SelfOutOfService():
		return fault.New(fault.Out, "data centre %s is out of service", e.board.Self.Datacentre)
	default:
		return nil
	}
}

// checkSize checks a payload against the size limit of its service.
func (e *API) checkSize(service string, payload []byte) *fault.Error {
	limit := e.board.Tree.Load().ForService(e.board.Self.Region, service).Body
	if units.Size(len(payload)) > limit {
		return fault.New(fault.TooLarge, "the payload has %d bytes, %s accepts %s", len(payload), service, limit)
	}
	return nil
}

// handleReady answers the load balancer's readiness check. It fails as soon as the host is leaving, before requests are
// refused.
func (e *API) handleReady(w http.ResponseWriter, _ *http.Request) {
	f := e.refusal()
	if f == nil && e.board.Phase() == board.Leaving {
		f = fault.New(fault.Leaving, "%s is leaving", e.board.Self.Name)
	}
	if f != nil {
		e.writeFailure(w, "", f)
		return
	}
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, "ready\n")
}

// writeFailure writes the answer to a failed request, with the time after which to retry. For orders it includes the
// ticket.
func (e *API) writeFailure(w http.ResponseWriter, id string, err error) {
	f := fault.Of(err)
	row := fault.Describe(f.Kind)
	e.scope.Tagged(map[string]string{"kind": row.Name}).Counter("refused").Inc(1)
	if wait := f.RetryAfter(); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	failure := apiv1.Failure{
		ID:     id,
		Kind:   row.Name,
		NotRun: f.NotRun(),
		Retry:  units.Duration(f.RetryAfter()),
		Text:   f.Text,
	}
	var o *orderError
	if errors.As(err, &o) {
		failure.Ticket = o.ticket
	}
	writeJSON(w, row.Status, failure)
}

// checksum returns the checksum of a body in the format of its header.
func checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// writeJSON writes an answer with its length and checksum, so that callers detect a truncated one.
func writeJSON(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(apiv1.ChecksumHeader, checksum(body))
	w.WriteHeader(status)
	w.Write(body)
}

// Limits of the HTTP server.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// bodyTimeout limits the time that reading a request's body may take.
	bodyTimeout = 20 * time.Second
	// answerTimeout limits the time that writing an answer may take.
	answerTimeout  = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

// Server returns the HTTP server of the API, for HTTP/1.1 and unencrypted HTTP/2.
func (e *API) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           e.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
