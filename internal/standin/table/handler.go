package table

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"quaybarrow/internal/store"
	"quaybarrow/internal/store/httpapi"
)

// PathFaults is where faults are put in force; a DELETE heals.
const PathFaults = "/standin/faults"

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(httpapi.PathGet, serve(s.serveGet)).Methods(http.MethodPost)
	r.HandleFunc(httpapi.PathScan, serve(s.serveScan)).Methods(http.MethodPost)
	r.HandleFunc(httpapi.PathCommit, serve(s.serveCommit)).Methods(http.MethodPost)
	r.HandleFunc(httpapi.PathHosts, serve(s.serveHosts)).Methods(http.MethodPost)
	r.HandleFunc(httpapi.PathRatings, serve(s.serveRatings)).Methods(http.MethodPost)
	r.HandleFunc(PathFaults, serve(s.serveFault)).Methods(http.MethodPost)
	r.HandleFunc(PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		s.Heal()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	return r
}

// serve adapts a typed function to HTTP.
func serve[Req, Reply any](f func(context.Context, Req) (Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Req
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := f(r.Context(), request)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, store.ErrThrottled):
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) serveGet(ctx context.Context, request httpapi.GetRequest) (httpapi.RowsReply, error) {
	row, err := s.Get(ctx, request.Table, request.Key)
	if err != nil {
		return httpapi.RowsReply{}, err
	}
	return httpapi.RowsReply{Rows: []httpapi.WireRow{httpapi.WireRow(row)}}, nil
}

func (s *Store) serveScan(ctx context.Context, request httpapi.ScanRequest) (httpapi.RowsReply, error) {
	rows, err := s.Scan(ctx, store.Range(request))
	if err != nil {
		return httpapi.RowsReply{}, err
	}
	reply := httpapi.RowsReply{Rows: make([]httpapi.WireRow, len(rows))}
	for i, row := range rows {
		reply.Rows[i] = httpapi.WireRow(row)
	}
	return reply, nil
}

func (s *Store) serveCommit(ctx context.Context, txn store.Transaction) (httpapi.Empty, error) {
	return httpapi.Empty{}, s.Commit(ctx, txn)
}

func (s *Store) serveHosts(ctx context.Context, _ httpapi.Empty) (httpapi.HostsReply, error) {
	hosts, err := s.List(ctx)
	return httpapi.HostsReply{Hosts: hosts}, err
}

func (s *Store) serveRatings(ctx context.Context, request httpapi.RatingsRequest) (httpapi.RatingsReply, error) {
	ratings, err := s.After(ctx, request.After, request.Limit)
	return httpapi.RatingsReply{Ratings: ratings}, err
}

func (s *Store) serveFault(_ context.Context, f Fault) (httpapi.Empty, error) {
	s.Inject(f)
	return httpapi.Empty{}, nil
}
