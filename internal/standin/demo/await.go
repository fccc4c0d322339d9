package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// pollInterval is the time between connection attempts to a starting proxy.
const pollInterval = 50 * time.Millisecond

// waitUntilServing polls a proxy until it executes a statement. It returns the
// last error when the context ends.
func waitUntilServing(ctx context.Context, address, database string) error {
	for {
		err := runSelectOne(ctx, address, database)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// runSelectOne connects to a proxy and executes SELECT 1.
func runSelectOne(ctx context.Context, address, database string) error {
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", address, database))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	return err
}
