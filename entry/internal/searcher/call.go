package searcher

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
)

// CallCommand is the subcommand that sends a non-idempotent call with a new key or a new ticket and prints the outcome.
type CallCommand struct {
	address, service, body, caller, ticket, repeat string
	deadlineMS                                     int64
}

// Name returns the name of the subcommand.
func (*CallCommand) Name() string { return "call" }

// Synopsis returns a short description.
func (*CallCommand) Synopsis() string {
	return "send a call that runs at most once and print the outcome"
}

// Usage returns the usage text.
func (*CallCommand) Usage() string {
	return "call -address IP:PORT -service NAME -body JSON [-ticket IP:PORT] [-repeat IP:PORT] [-caller NAME] [-deadline MS]\n"
}

// SetFlags registers the flags.
func (c *CallCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:8080", "caller address of an entry VM")
	f.StringVar(&c.service, "service", "", "service to call")
	f.StringVar(&c.body, "body", "{}", "body of the call, JSON")
	f.StringVar(&c.ticket, "ticket", "", "caller address of an entry VM that issues a ticket; without it the call has a key")
	f.StringVar(&c.repeat, "repeat", "", "caller address of an entry VM to which the call is sent again")
	f.StringVar(&c.caller, "caller", "", "name of the caller")
	f.Int64Var(&c.deadlineMS, "deadline", 2000, "deadline in milliseconds")
}

// Execute sends the call, and sends it again if -repeat is set. It fails unless each outcome is done and the results are equal.
func (c *CallCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *CallCommand) run(ctx context.Context) error {
	q := encoder.CallRequest{Service: c.service, Body: json.RawMessage(c.body), DeadlineMS: c.deadlineMS}
	if err := c.addKeyOrTicket(ctx, &q); err != nil {
		return err
	}
	first, err := c.send(ctx, c.address, q)
	if err != nil || c.repeat == "" {
		return err
	}
	second, err := c.send(ctx, c.repeat, q)
	if err != nil {
		return err
	}
	if string(first.Result) != string(second.Result) {
		return eris.Errorf("the repeated call returned a different result: %s", second.Result)
	}
	return nil
}

// addKeyOrTicket sets a new ticket or a new key in q.
func (c *CallCommand) addKeyOrTicket(ctx context.Context, q *encoder.CallRequest) error {
	if c.ticket != "" {
		var a encoder.TicketsAnswer
		if err := postJSON(ctx, c.ticket, "/v1/tickets", c.caller, encoder.TicketsRequest{Service: c.service, Count: 1}, &a); err != nil {
			return err
		}
		if len(a.Tickets) != 1 {
			return eris.Errorf("%s issued %d tickets, want 1", c.ticket, len(a.Tickets))
		}
		q.Ticket = a.Tickets[0]
		return nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	q.Key = key.String()
	return nil
}

func (c *CallCommand) send(ctx context.Context, address string, q encoder.CallRequest) (*encoder.CallAnswer, error) {
	var a encoder.CallAnswer
	if err := postJSON(ctx, address, "/v1/call", c.caller, q, &a); err != nil {
		return nil, err
	}
	fmt.Printf("%s: %s %s: upstream %s, result %s\n", a.RequestID, a.Outcome, a.Reason, a.Upstream, a.Result)
	if a.Outcome != encoder.OutcomeDone {
		return nil, eris.Errorf("the outcome of the call is %s", a.Outcome)
	}
	return &a, nil
}
