package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"quaybarrow/internal/config"
	"quaybarrow/internal/console"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/store"
	"quaybarrow/internal/telemetry"
)

// The URL paths of the API.
const (
	PathConfig = "/operator/v1/config"
	PathApply  = "/operator/v1/apply"
	PathDo     = "/operator/v1/do"
	PathTrace  = "/operator/v1/trace/"
)

// Limits of requests: the size of a body, and the default and maximum of the wait for a revision
// to be in force.
const (
	maxBodyBytes = 8 << 20
	defaultWait  = 10 * time.Second
	maxWait      = 5 * time.Minute
)

// ConfigReply is the configuration in force on the host that answers.
type ConfigReply struct {
	Revision     int64                `json:"revision"`
	At           time.Time            `json:"at"`
	Operator     string               `json:"operator"`
	Command      string               `json:"command"`
	Declarations declare.Declarations `json:"declarations"`
}

// ApplyRequest asks the host to make declarations the newest revision.
type ApplyRequest struct {
	Base         int64                `json:"base"`
	CommandID    string               `json:"command_id"`
	WaitMS       int64                `json:"wait_ms,omitempty"`
	DryRun       bool                 `json:"dry_run,omitempty"`
	Declarations declare.Declarations `json:"declarations"`
}

// DoRequest is a command or query in the language of package console.
type DoRequest struct {
	Base      int64  `json:"base"` // BaseNewest (-1) means the host's current revision
	CommandID string `json:"command_id"`
	WaitMS    int64  `json:"wait_ms,omitempty"`
	Text      string `json:"text"`
}

// DoReply is the reply to a DoRequest: an outcome for a command, rows for a query.
type DoReply struct {
	Outcome *Outcome      `json:"outcome,omitempty"`
	Rows    []console.Row `json:"rows,omitempty"`
	Partial []string      `json:"partial,omitempty"` // hosts that the query failed for
}

// BaseNewest selects, as the Base of a request, the current revision of the host that serves it.
const BaseNewest = -1

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error    string            `json:"error"`
	Code     string            `json:"code"`
	Problems []declare.Problem `json:"problems,omitempty"`
	Winner   int64             `json:"winner,omitempty"` // the accepted revision, for a conflict
}

// The values of ErrorReply.Code.
const (
	CodeConflict   = "conflict"
	CodeInvalid    = "invalid"
	CodeForbidden  = "forbidden"
	CodeNotFound   = "not_found"
	CodeUnsettled  = "unsettled"
	CodeStore      = "store_unavailable"
	CodeBadRequest = "bad_request"
)

// Options configures an API.
type Options struct {
	Commands  *Commands
	Queries   *Queries
	Config    *config.Holder
	Telemetry *telemetry.Telemetry
	// Bootstrap is the hash of the operator key that is accepted while no operator is declared.
	Bootstrap string
	// Ready returns the reason why the host takes no requests; empty if it takes them.
	Ready func() string
	// Status serves the status page; nil for none.
	Status http.Handler
}

// API is the HTTP API for operators.
type API struct{ options Options }

// New returns the API.
func New(options Options) *API { return &API{options: options} }

// Handler returns the handler of the API, the probes, the metrics and the status page.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", a.serveReady)
	r.HandleFunc("/metrics", a.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc(PathConfig, a.serveConfig).Methods(http.MethodGet)
	r.HandleFunc(PathApply, serve(a, a.apply)).Methods(http.MethodPost)
	r.HandleFunc(PathDo, serve(a, a.do)).Methods(http.MethodPost)
	r.HandleFunc(PathTrace+"{id}", a.serveTrace).Methods(http.MethodGet)
	if a.options.Status != nil {
		r.Handle("/", a.options.Status).Methods(http.MethodGet)
	}
	return r
}

func (a *API) serveReady(w http.ResponseWriter, _ *http.Request) {
	if why := a.options.Ready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (a *API) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = a.options.Telemetry.WriteText(w)
}

// authenticate returns the operator whose key the request carries, or an ErrForbidden.
func (a *API) authenticate(r *http.Request) (declare.Operator, error) {
	secret := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	snapshot := a.options.Config.Current()
	if snapshot != nil {
		if o, ok := snapshot.Operator(secret); ok {
			return o, nil
		}
	}
	declared := snapshot != nil && len(snapshot.Revision().Declarations.Operators) > 0
	if !declared && secret != "" && config.HashKey(secret) == a.options.Bootstrap {
		return declare.Operator{Name: "bootstrap", Role: declare.RoleEditor}, nil
	}
	return declare.Operator{}, errors.WithMessage(ErrForbidden, "the operator key is missing or unknown")
}

// serve returns an HTTP handler that authenticates the operator, decodes the JSON body for f and
// encodes its reply.
func serve[Req, Reply any](a *API, f func(context.Context, declare.Operator, Req) (Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := a.options.Telemetry.Extract(r.Context(), r.Header)
		ctx, span := a.options.Telemetry.Start(ctx, "operator "+r.URL.Path)
		defer span.End()
		o, err := a.authenticate(r)
		if err != nil {
			writeError(w, err)
			return
		}
		var request Req
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			writeJSON(w, http.StatusBadRequest, ErrorReply{Error: "the body can't be read: " + err.Error(), Code: CodeBadRequest})
			return
		}
		reply, err := f(ctx, o, request)
		if err != nil {
			telemetry.Fail(span, err)
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error response with the code, status and details that belong to err.
func writeError(w http.ResponseWriter, err error) {
	reply := ErrorReply{Error: err.Error(), Code: CodeStore}
	status := http.StatusServiceUnavailable
	var conflict *config.ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		reply.Code, reply.Winner, status = CodeConflict, conflict.Winner.Number, http.StatusConflict
	case errors.As(err, &invalid):
		reply.Code, reply.Problems, status = CodeInvalid, invalid.Problems, http.StatusUnprocessableEntity
	case errors.Is(err, ErrForbidden):
		reply.Code, status = CodeForbidden, http.StatusForbidden
	case errors.Is(err, ErrUnknown), errors.Is(err, store.ErrNotFound):
		reply.Code, status = CodeNotFound, http.StatusNotFound
	case errors.Is(err, ErrBackward), errors.Is(err, console.ErrSyntax), errors.Is(err, console.ErrField):
		reply.Code, status = CodeBadRequest, http.StatusBadRequest
	case errors.Is(err, config.ErrUnsettled):
		reply.Code = CodeUnsettled
	}
	writeJSON(w, status, reply)
}

func (a *API) serveConfig(w http.ResponseWriter, r *http.Request) {
	if _, err := a.authenticate(r); err != nil {
		writeError(w, err)
		return
	}
	reply := ConfigReply{}
	if s := a.options.Config.Current(); s != nil {
		c := s.Revision()
		reply = ConfigReply{Revision: c.Number, At: c.At, Operator: c.Operator, Command: c.Command, Declarations: c.Declarations}
	}
	writeJSON(w, http.StatusOK, reply)
}

// requireEditor returns an ErrForbidden unless the operator may change the configuration: an
// editor that is not limited to workspaces.
func requireEditor(o declare.Operator) error {
	if o.Role != declare.RoleEditor {
		return errors.WithMessage(ErrForbidden, o.Name+" is a viewer")
	}
	if len(o.Workspaces) > 0 {
		return errors.WithMessage(ErrForbidden, o.Name+" is limited to workspaces and can't change the shared configuration")
	}
	return nil
}

// envelope builds the Envelope of a command and fills in defaults for what the request left out.
func (a *API) envelope(o declare.Operator, base int64, id string, waitMS int64) Envelope {
	e := Envelope{Operator: o.Name, CommandID: id, Base: base, Wait: time.Duration(waitMS) * time.Millisecond}
	if e.Base == BaseNewest {
		e.Base = a.options.Config.Number()
	}
	if e.CommandID == "" {
		e.CommandID = uuid.NewString()
	}
	if e.Wait <= 0 {
		e.Wait = defaultWait
	}
	e.Wait = min(e.Wait, maxWait)
	return e
}

func (a *API) apply(ctx context.Context, o declare.Operator, r ApplyRequest) (Outcome, error) {
	if err := requireEditor(o); err != nil {
		return Outcome{}, err
	}
	return a.options.Commands.Apply(ctx, a.envelope(o, r.Base, r.CommandID, r.WaitMS), r.Declarations, r.DryRun)
}

func (a *API) do(ctx context.Context, o declare.Operator, r DoRequest) (DoReply, error) {
	statement, err := console.Parse(r.Text)
	if err != nil {
		return DoReply{}, err
	}
	if show, ok := statement.(console.Show); ok {
		rows, partial, err := a.options.Queries.Show(ctx, o, show)
		return DoReply{Rows: rows, Partial: partial}, err
	}
	if err := requireEditor(o); err != nil {
		return DoReply{}, err
	}
	outcome, err := a.execute(ctx, a.envelope(o, r.Base, r.CommandID, r.WaitMS), statement)
	return DoReply{Outcome: &outcome}, err
}

func (a *API) execute(ctx context.Context, e Envelope, statement console.Statement) (Outcome, error) {
	switch s := statement.(type) {
	case console.Move:
		return a.options.Commands.Move(ctx, e, s)
	case console.Hold:
		return a.options.Commands.Hold(ctx, e, s)
	case console.Release:
		return a.options.Commands.Release(e, s)
	default:
		return Outcome{}, errors.Errorf("unknown statement %T", s)
	}
}

func (a *API) serveTrace(w http.ResponseWriter, r *http.Request) {
	if _, err := a.authenticate(r); err != nil {
		writeError(w, err)
		return
	}
	spans := a.options.Queries.Trace(r.Context(), mux.Vars(r)["id"])
	writeJSON(w, http.StatusOK, spans)
}
