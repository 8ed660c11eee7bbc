package detourer

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap/zapcore"

	"comfreyroute/core/coordination/authenticator"
	"comfreyroute/core/coordination/forwarder"
	"comfreyroute/core/transport/bounder"
	"comfreyroute/gateway/internal/logger"
)

// fakeDispatcher gives each request the same answer, or none.
type fakeDispatcher struct {
	answer    *forwarder.Answer
	got       forwarder.RequestArrived
	cancelled chan forwarder.RequestID
}

func (d *fakeDispatcher) SubmitRequest(e forwarder.RequestArrived) (forwarder.RequestID, <-chan forwarder.Answer) {
	d.got = e
	answers := make(chan forwarder.Answer, 1)
	if d.answer != nil {
		answers <- *d.answer
	}
	return 7, answers
}

func (d *fakeDispatcher) CancelRequest(r forwarder.RequestID) { d.cancelled <- r }

func testSend() *forwarder.Send {
	return &forwarder.Send{
		Upstream: "vm2", MaxBodyBytes: 1 << 16, Detour: &forwarder.Detour{Route: 0xabcdef0123456789, Age: 12 * time.Millisecond, Attempts: 2, Counted: true, Paid: true},
		Message: &forwarder.Message{
			RequestID: "r1", Method: "PUT", Host: "a.example", Path: "/x/y", Target: "/x/y?q=1", Body: []byte("body"),
			// A caller must not be able to set what the VMs tell each other.
			Header: http.Header{"Accept": {"a", "b"}, "Attempts": {"9"}, "Format": {"2"}, "In-Id": {"z"}},
		},
	}
}

// exchange sends a request to a host and returns the bytes of its answer.
func exchange(t *testing.T, s *Host, send *forwarder.Send) string {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(Protocol{}.AppendRequest(nil, send, time.Second))))
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	var b bytes.Buffer
	if err := recorder.Result().Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func readAnswer(text string, send *forwarder.Send) (*forwarder.PeerAnswered, error) {
	r := bounder.NewReader(strings.NewReader(text), 1<<12)
	r.Expect(bounder.Head, 1<<16)
	got, err := Protocol{Memory: &bounder.Memory{}}.ReadReply(r, send)
	return got.Answer, err
}

// TestRoundTrip guards against requests and answers that change on their way between VMs.
func TestRoundTrip(t *testing.T) {
	reply := &forwarder.Reply{Status: 418, Header: http.Header{"Server-Stamp": {"st"}, "Outcome": {"x"}}, Body: []byte("tea"), Signature: "st"}
	cases := []struct {
		name   string
		answer forwarder.Answer
		want   forwarder.PeerAnswered
	}{
		{"relayed", forwarder.Answer{Outcome: forwarder.Relayed{Reply: reply}, Leaving: []string{"i-1", "i-2"}, Runs: 1},
			forwarder.PeerAnswered{Outcome: forwarder.Relayed{Reply: reply}, Leaving: []string{"i-1", "i-2"}, Runs: 1}},
		{"gathered", forwarder.Answer{
			Outcome: forwarder.Gathered{Signatures: []string{"a", "b"}, Missing: 1, Body: []byte("0123456789abcdef")},
			Report:  forwarder.Report{Missing: []forwarder.MissingShard{{Service: "shard7"}}}, Runs: 2,
		}, forwarder.PeerAnswered{Outcome: forwarder.Gathered{Signatures: []string{"a", "b"}, Missing: 1, Body: []byte("0123456789abcdef")}, Missing: []string{"shard7"}, Runs: 2}},
		{"refused", forwarder.Answer{Outcome: forwarder.Refused{Reason: forwarder.OutOfReach, RetryAfter: 1500 * time.Microsecond}},
			forwarder.PeerAnswered{Outcome: forwarder.Refused{Reason: forwarder.OutOfReach, RetryAfter: 1500 * time.Microsecond}}},
		{"unknown", forwarder.Answer{Outcome: forwarder.Unknown{Reason: forwarder.Lost}, Runs: 1},
			forwarder.PeerAnswered{Outcome: forwarder.Unknown{Reason: forwarder.Lost}, Runs: 1}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &fakeDispatcher{answer: &c.answer}
			s, send := &Host{Dispatcher: d, Memory: &bounder.Memory{}, Log: logger.New(zapcore.AddSync(t.Output()), "vm2")}, testSend()
			send.Message.Identity = http.Header{"X-Api-Key": {"secret"}, "Tenant": {"forged"}}
			if i%2 == 0 {
				send.Message.Identity = nil
				send.Detour.Identity = forwarder.Identity{Verified: true, Customer: "acme"}
				send.Detour.Key = authenticator.DigestOf("secret")
			}
			text := exchange(t, s, send)
			if diff := cmp.Diff(send.Message, d.got.Message); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(send.Detour, d.got.Detour); diff != "" {
				t.Errorf("detour (-want +got):\n%s", diff)
			}
			if left := time.Until(d.got.Deadline); left <= 0 || left > time.Second {
				t.Errorf("the deadline is in %v, want up to 1 s", left)
			}
			got, err := readAnswer(text, send)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(&c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			for cut := range len(text) {
				if got, err := readAnswer(text[:cut], send); err == nil {
					t.Fatalf("%q, then the end of the connection: answer %+v", text[:cut], got)
				}
			}
			send.Message.RequestID = "r2"
			if _, err := readAnswer(text, send); err == nil {
				t.Error("the answer to another request is taken")
			}
		})
	}
}

// TestImpossibleStatus guards against an answer of a peer with a status that no HTTP answer can have, of an upstream's reply or of its own.
func TestImpossibleStatus(t *testing.T) {
	reply := forwarder.Relayed{Reply: &forwarder.Reply{Status: 418, Signature: "st"}}
	s := &Host{Dispatcher: &fakeDispatcher{answer: &forwarder.Answer{Outcome: reply}}, Memory: &bounder.Memory{}, Log: logger.New(zapcore.AddSync(t.Output()), "vm2")}
	text := exchange(t, s, testSend())
	for _, status := range []string{"000", "099", "600", "999", "1000", "-418", ""} {
		for _, old := range []string{"Status: 418", "HTTP/1.1 200"} {
			if strings.Count(text, old) != 1 {
				t.Fatalf("no %q in %q", old, text)
			}
			name, _, _ := strings.Cut(old, " ")
			if got, err := readAnswer(strings.Replace(text, old, name+" "+status, 1), testSend()); err == nil {
				t.Errorf("status %q in place of %q is accepted: %+v", status, old, got.Outcome)
			}
		}
	}
}

// TestHostRefuses guards against requests that a host cannot serve and that are not refused as not run: those of other builds, malformed ones,
// and those that come while it stops.
func TestHostRefuses(t *testing.T) {
	valid := string(Protocol{}.AppendRequest(nil, testSend(), time.Second))
	cases := []struct {
		name     string
		text     string
		stopping bool
	}{
		{"another format", strings.Replace(valid, "Format: 1", "Format: 3", 1), false},
		{"malformed key", strings.Replace(valid, "Format: 1", "Format: 2\r\nKey: 12", 1), false},
		{"no attempts", strings.Replace(valid, "\r\nAttempts: 2", "\r\nAttempts: 0", 1), false},
		{"malformed time", strings.Replace(valid, "Left: ", "Left: x", 1), false},
		{"malformed route", strings.Replace(valid, "Route: ", "Route: x", 1), false},
		{"malformed age", strings.Replace(valid, "Age: ", "Age: x", 1), false},
		{"another path", strings.Replace(valid, path, "/other", 1), false},
		{"stopping", valid, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(c.text)))
			if err != nil {
				t.Fatal(err)
			}
			d := &fakeDispatcher{}
			s := &Host{Dispatcher: d, Memory: &bounder.Memory{}, Log: logger.New(zapcore.AddSync(t.Output()), "vm2")}
			if c.stopping {
				s.StartShutdown()
			}
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, request)
			if d.got.Message != nil {
				t.Error("the request is served")
			}
			if got := recorder.Header().Get(headerOutcome); got != outcomeRefused || recorder.Header().Get("Connection") != "close" {
				t.Errorf("the outcome is %q, want a refusal that closes the connection", got)
			}
		})
	}
}

// TestCallerLeaves guards against a request that goes on at a peer after the first VM has given it up.
func TestCallerLeaves(t *testing.T) {
	d := &fakeDispatcher{cancelled: make(chan forwarder.RequestID, 1)}
	server := httptest.NewServer(&Host{Dispatcher: d, Memory: &bounder.Memory{}, Log: logger.New(zapcore.AddSync(t.Output()), "vm2")})
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(Protocol{}.AppendRequest(nil, testSend(), time.Second)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	select {
	case id := <-d.cancelled:
		if id != 7 {
			t.Errorf("request %d is cancelled, want 7", id)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request is not cancelled")
	}
}

// FuzzAnswer guards against answers of a peer that crash this VM.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nRuns: 1\r\nOutcome: relayed\r\nStatus: 200\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: r1\r\nRuns: -1\r\nOutcome: gathered\r\nMissing: 99999999999999999999\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nRuns: 0\r\nOutcome: refused\r\nRetry: -9223372036854775808\r\nContent-Length: 0\r\n\r\n", "",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := readAnswer(text, testSend())
		if err == nil && (got == nil || got.Outcome == nil) {
			t.Fatal("an answer without an outcome")
		}
	})
}

// FuzzRequest guards against requests of another VM that crash this one.
func FuzzRequest(f *testing.F) {
	f.Add(string(Protocol{}.AppendRequest(nil, testSend(), time.Second)))
	f.Add("POST /detour HTTP/1.1\r\nHost: x\r\nFormat: 1\r\nLeft: 99999999999999999999\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		if e, err := decodeRequest(request, time.Unix(0, 0)); err == nil && (e.Detour == nil || e.Detour.Attempts < 1 || e.Deadline.Before(time.Unix(0, 0))) {
			t.Fatal(fmt.Sprint("an invalid request is taken: ", e.Detour))
		}
	})
}
