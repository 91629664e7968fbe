package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"quaybarrow/internal/standin/cluster"
)

// Served tells a client how to reach the demonstration.
type Served struct {
	URL      string            `json:"url"`
	Keys     map[string]string `json:"keys"`
	Models   []string          `json:"models"`
	Operator ServedOperator    `json:"operator"`
}

// ServedOperator tells an operator's tool how to reach it.
type ServedOperator struct {
	URL string `json:"url"`
	Key string `json:"key"`
}

// Serve keeps the demonstration's cluster up until the context ends, then
// drains it.
func Serve(ctx context.Context, options Options) error {
	s, err := newScene(ctx, options)
	if err != nil {
		return err
	}
	defer s.cluster.Close()
	if err := s.announce(); err != nil {
		return err
	}
	<-ctx.Done()
	s.say("draining")
	for _, h := range s.cluster.Hosts {
		if err := s.cluster.Stop(context.WithoutCancel(ctx), h); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) announce() error {
	h := s.host(0)
	served := Served{
		URL: "http://" + h.Callers() + "/v1", Keys: map[string]string{},
		Operator: ServedOperator{URL: "http://" + h.Operators(), Key: cluster.OperatorKey},
	}
	for _, w := range declarations().Workspaces {
		served.Keys[w.Name] = keyOf(w.Name)
	}
	for _, m := range declarations().Models {
		served.Models = append(served.Models, m.Name)
	}
	if s.options.JSON {
		if err := json.NewEncoder(s.options.Out).Encode(served); err != nil {
			return fmt.Errorf("print address: %w", err)
		}
		return nil
	}
	_, err := fmt.Fprintf(s.options.Out, "API:       %s   key: %s\noperators: %s   key: %s\nmodels:    %v\n",
		served.URL, served.Keys["clerks"], served.Operator.URL, served.Operator.Key, served.Models)
	if err != nil {
		return fmt.Errorf("print address: %w", err)
	}
	return nil
}
