// Package searcher implements the client subcommands of the entry daemon, so that trying it out needs no other program.
package searcher

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"comfreyroute/core/protocol/encoder"
)

const (
	requestTimeout = 10 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// SearchCommand is the subcommand that sends a search and prints the answer.
type SearchCommand struct {
	address, service, query, caller string
	deadlineMS                      int64
}

// Name returns the name of the subcommand.
func (*SearchCommand) Name() string { return "search" }

// Synopsis returns a short description.
func (*SearchCommand) Synopsis() string { return "send a search to an entry VM and print the answer" }

// Usage returns the usage text.
func (*SearchCommand) Usage() string {
	return "search -address IP:PORT -service NAME -query TEXT [-caller NAME] [-deadline MS]\n"
}

// SetFlags registers the flags.
func (c *SearchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:8080", "caller address of an entry VM")
	f.StringVar(&c.service, "service", "", "service to search")
	f.StringVar(&c.query, "query", "", "search text")
	f.StringVar(&c.caller, "caller", "", "name of the caller")
	f.Int64Var(&c.deadlineMS, "deadline", 0, "deadline in milliseconds; 0 takes that of the service")
}

// Execute sends the search. It fails unless the outcome is done.
func (c *SearchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var a encoder.SearchAnswer
	q := encoder.SearchRequest{Service: c.service, Query: c.query, DeadlineMS: c.deadlineMS}
	if err := postJSON(ctx, c.address, "/v1/search", c.caller, q, &a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	items := 0
	for _, r := range a.Results {
		items += len(r.Items)
	}
	fmt.Printf("%s: %s %s: snapshot %d, layout %s, %d of %d shards covered, %d items, missing %v\n",
		a.RequestID, a.Outcome, a.Reason, a.Snapshot, a.Layout, len(a.Covered), a.ShardsTotal, items, a.Missing)
	if a.Outcome != encoder.OutcomeDone {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// WaitCommand is the subcommand that waits until an HTTP server answers a path with status 200.
type WaitCommand struct {
	address, path string
	limit         time.Duration
}

// Name returns the name of the subcommand.
func (*WaitCommand) Name() string { return "wait" }

// Synopsis returns a short description.
func (*WaitCommand) Synopsis() string { return "wait until an HTTP address answers with status 200" }

// Usage returns the usage text.
func (*WaitCommand) Usage() string { return "wait -address IP:PORT [-path /readyz] [-limit 20s]\n" }

// SetFlags registers the flags.
func (c *WaitCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:8080", "address")
	f.StringVar(&c.path, "path", "/readyz", "path")
	f.DurationVar(&c.limit, "limit", 20*time.Second, "longest wait")
}

// Execute polls the path. It fails when the time limit has passed.
func (c *WaitCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+c.path, nil)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
		if reply, err := http.DefaultClient.Do(request); err == nil {
			_ = reply.Body.Close()
			if reply.StatusCode == http.StatusOK {
				return subcommands.ExitSuccess
			}
		}
		time.Sleep(pollInterval)
	}
	fmt.Fprintf(os.Stderr, "%s%s is not ready after %s\n", c.address, c.path, c.limit)
	return subcommands.ExitFailure
}

// postJSON sends a request and decodes the answer, whatever its HTTP status is.
func postJSON(ctx context.Context, address, path, caller string, q, a any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := json.Marshal(q)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(encoder.HeaderCaller, caller)
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, encoder.MaxReplyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, a)
}
