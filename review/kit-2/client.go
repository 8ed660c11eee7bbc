package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is an answer as a consumer reads it.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// newID returns a fresh Request-Id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send opens a connection, writes a request and reads the answer.
func send(address, text string, timeout time.Duration) (*answer, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = nc.Close() }()
	return sendOn(nc, bufio.NewReader(nc), text, timeout)
}

// sendOn writes a request to a connection and reads the answer.
func sendOn(nc net.Conn, r *bufio.Reader, text string, timeout time.Duration) (*answer, error) {
	_ = nc.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(nc, text); err != nil {
		return nil, err
	}
	return readAnswer(r)
}

func readAnswer(r *bufio.Reader) (*answer, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}
