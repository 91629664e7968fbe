package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// controlTimeout is ample for a host that answers: it lists what it has in memory.
const controlTimeout = 5 * time.Second

// readView asks the host whose control address is the only argument for what it shows at a path.
func readView[View any](ctx context.Context, args []string, path string) (View, error) {
	var view View
	data, err := askControl(ctx, http.MethodGet, args, path, http.StatusOK)
	if err != nil {
		return view, err
	}
	if err := json.Unmarshal(data, &view); err != nil {
		return view, fmt.Errorf("read answer: %w", err)
	}
	return view, nil
}

// askControl makes a call to a host's control address and returns the answer's body.
func askControl(ctx context.Context, method string, args []string, path string, want int) ([]byte, error) {
	if len(args) != 1 {
		return nil, errors.WithMessage(errUsage, "argument CONTROL: name a host's control address")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+args[0]+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask host: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != want {
		return nil, errors.Errorf("the host answered %s: %s", response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
