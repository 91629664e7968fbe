package measure

import (
	"context"
	"time"
)

// Capacity is filled in below.
func Capacity(context.Context, time.Duration) ([]Table, error) { return nil, nil }

// InForce is filled in below.
func InForce(context.Context) (Table, error) { return Table{}, nil }
