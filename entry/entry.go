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

// maxBody bounds a request's body before its service is known: the largest payload that settings allow, in base64, with its frame.
const maxBody = 6 * int64(units.MiB)

// Entry answers callers.
type Entry struct {
	clock  *timer.Clock
	board  *board.State
	engine *query.Engine
	book   *order.Book
	log    *zap.Logger
	scope  tally.Scope
	serial atomic.Uint64
	open   atomic.Int64
	// body bounds the time in which a request's body has to come.
	body time.Duration
}

// New returns the callers' front end of a host.
func New(clock *timer.Clock, b *board.State, engine *query.Engine, book *order.Book, log *zap.Logger, scope tally.Scope) *Entry {
	return &Entry{
		clock:  clock,
		board:  b,
		engine: engine,
		book:   book,
		log:    log,
		scope:  scope,
		body:   bodyTimeout,
	}
}

// Handler returns the routes of the callers' interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+apiv1.PathQuery, e.admit(e.query, certain))
	mux.HandleFunc("POST "+apiv1.PathOrder, e.admit(e.order, order.AsMayHaveRun))
	mux.HandleFunc("POST "+apiv1.PathTickets, e.admit(e.tickets, certain))
	mux.HandleFunc("GET "+apiv1.PathReady, e.ready)
	return mux
}

// Open returns the number of requests in flight.
func (e *Entry) Open() int64 {
	return e.open.Load()
}

// request is what a handler gets of one request.
type request struct {
	id   string
	body []byte
	// refused says why this host takes no new request, as it stood when this one came.
	refused *fault.Error
}

type handler func(ctx context.Context, r request) (any, error)

// certain leaves a refusal as it is: nothing of a request ran whose body could not be read.
func certain(f *fault.Error) *fault.Error {
	return f
}

// admit reads the request whole and answers in one form whatever the handler returns; unread says what is certain where the body can't be read, since an order may be a repeat.
func (e *Entry) admit(h handler, unread func(*fault.Error) *fault.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.open.Add(1)
		defer e.open.Add(-1)
		if e.board.Phase() >= board.Leaving {
			// Connections end with their next answer, so that none has to be closed under a caller.
			w.Header().Set("Connection", "close")
		}
		id := fmt.Sprintf("%s/%d", e.board.Self.HostID, e.serial.Add(1))
		q := request{id: id, refused: e.refuse()}
		body, f := e.read(w, r)
		var answer any
		var err error
		if f != nil {
			err = unread(f)
		} else {
			q.body = body
			answer, err = h(r.Context(), q)
		}
		e.limit(http.NewResponseController(w).SetWriteDeadline, answerTimeout)
		if err != nil {
			e.fail(w, id, err)
			return
		}
		e.scope.Counter("answered").Inc(1)
		send(w, http.StatusOK, answer)
	}
}

// limit sets a deadline of a connection, or none where d is zero; one that can't be set only costs the protection against slow callers.
func (e *Entry) limit(set func(time.Time) error, d time.Duration) {
	var end time.Time
	if d > 0 {
		end = e.clock.Now().Add(d)
	}
	if set(end) != nil {
		e.scope.Counter("unlimited").Inc(1)
	}
}

// read returns the request's body, whole and matching its checksum if it has one.
func (e *Entry) read(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	control := http.NewResponseController(w)
	e.limit(control.SetWriteDeadline, 0)
	e.limit(control.SetReadDeadline, e.body)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	// A deadline that passed while the request runs would end it.
	e.limit(control.SetReadDeadline, 0)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", maxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.scope.Counter("slowbodies").Inc(1)
		return nil, fault.New(fault.TooLate, "the body didn't come within %s", e.body)
	case err != nil:
		return nil, fault.New(fault.Invalid, "the body could not be read: %v", err)
	}
	if sum := r.Header.Get(apiv1.ChecksumHeader); sum != "" && sum != sumOf(body) {
		return nil, fault.New(fault.Invalid, "the body doesn't match its checksum %q", sum)
	}
	return body, nil
}

// refuse says why this host takes no new request, or nil.
func (e *Entry) refuse() *fault.Error {
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

func (e *Entry) checkSize(service string, payload []byte) *fault.Error {
	limit := e.board.Tree.Load().ForService(e.board.Self.Region, service).Body
	if units.Size(len(payload)) > limit {
		return fault.New(fault.TooLarge, "the payload has %d bytes, %s accepts %s", len(payload), service, limit)
	}
	return nil
}

// ready tells the balancer to send no new work before this host refuses any.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	f := e.refuse()
	if f == nil && e.board.Phase() == board.Leaving {
		f = fault.New(fault.Leaving, "%s is leaving", e.board.Self.Name)
	}
	if f != nil {
		e.fail(w, "", f)
		return
	}
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, "ready\n")
}

// fail sends the final answer for a request that is given up on, with when to come back.
func (e *Entry) fail(w http.ResponseWriter, id string, err error) {
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
	send(w, row.Status, failure)
}

// sumOf returns the checksum of a body as its header carries it.
func sumOf(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
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
	w.Header().Set(apiv1.ChecksumHeader, sumOf(body))
	w.WriteHeader(status)
	w.Write(body)
}

// Timeouts of the callers' server.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// bodyTimeout bounds the time in which a request's body has to come, answerTimeout that in which its answer has to be taken.
	bodyTimeout   = 20 * time.Second
	answerTimeout = 20 * time.Second
	maxHeader     = 64 << 10
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
		MaxHeaderBytes:    maxHeader,
	}
}
