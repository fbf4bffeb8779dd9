// Package client is a client of the platform's HTTP and JSON services.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// HeaderDataCentre carries the caller's data centre.
const HeaderDataCentre = "Cobalttide-Data-Centre"

// maxResponseBytes limits the part of a response that is read.
const maxResponseBytes = 64 << 20

// callTimeout bounds each call, in addition to its context's deadline.
const callTimeout = 5 * time.Second

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	// LogAddress and ListAddress are "IP:port".
	LogAddress, ListAddress string
	// DataCentre is sent in HeaderDataCentre, so that a stand-in can cut off a data
	// centre.
	DataCentre domain.DataCentre
	HTTP       *http.Client
	received   atomic.Int64
	sent       atomic.Int64
}

// Bytes returns the number of bytes received and sent on the client's connections.
func (c *Client) Bytes() (received, sent int64) { return c.received.Load(), c.sent.Load() }

// countingConn counts the bytes received and sent on a connection.
type countingConn struct {
	net.Conn
	client *Client
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.sent.Add(int64(n))
	return n, err
}

// New returns a client with its own connection pool.
func New(logAddress, listAddress string, dc domain.DataCentre) *Client {
	c := &Client{LogAddress: logAddress, ListAddress: listAddress, DataCentre: dc}
	dialer := &net.Dialer{Timeout: callTimeout}
	c.HTTP = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, c}, nil
		},
	}}
	return c
}

var (
	_ port.Log     = (*Client)(nil)
	_ port.Lister  = (*Client)(nil)
	_ port.Workers = (*Client)(nil)
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Stream  port.Stream   `json:"stream"`
	Records []port.Record `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// missingField returns the error for a response without a required field. A missing
// field must not be taken for an empty value.
func missingField(field string) error { return errors.Newf("the platform's response lacks %s", field) }

// Append implements port.Log.
func (c *Client) Append(ctx context.Context, stream port.Stream, records []port.Record) (int64, error) {
	answer := struct {
		Offset *int64 `json:"offset"`
	}{}
	if err := c.post(ctx, c.LogAddress, "/log/append", AppendRequest{Stream: stream, Records: records}, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == nil {
		return 0, missingField("the offset")
	}
	return *answer.Offset, nil
}

// Read implements port.Log.
func (c *Client) Read(ctx context.Context, stream port.Stream, from int64) (port.Page, error) {
	query := url.Values{"stream": {string(stream)}, "from": {strconv.FormatInt(from, 10)}}
	answer := struct {
		Entries []port.Entry `json:"entries"`
		Oldest  *int64       `json:"oldest"`
		Next    *int64       `json:"next"`
		End     *int64       `json:"end"`
	}{}
	if err := c.do(ctx, http.MethodGet, "http://"+c.LogAddress+"/log/read?"+query.Encode(), nil, &answer); err != nil {
		return port.Page{}, err
	}
	if answer.Oldest == nil || answer.Next == nil || answer.End == nil {
		return port.Page{}, missingField("an offset")
	}
	return port.Page{Entries: answer.Entries, Oldest: *answer.Oldest, Next: *answer.Next, End: *answer.End}, nil
}

// List implements port.Lister.
func (c *Client) List(ctx context.Context, query port.ListQuery) (port.Inventory, error) {
	var inventory port.Inventory
	if err := c.post(ctx, c.ListAddress, "/list", query, &inventory); err != nil {
		return port.Inventory{}, err
	}
	if v := inventory.Versions; v.Instances == "" || v.Workers == "" || v.Backends == "" {
		return port.Inventory{}, missingField("a list's version")
	}
	return inventory, nil
}

// Do implements port.Workers.
func (c *Client) Do(ctx context.Context, worker domain.Worker, command port.Command) (port.Report, error) {
	var report port.Report
	if err := c.post(ctx, worker.Address, "/workers/"+string(worker.ID)+"/do", command, &report); err != nil {
		return port.Report{}, err
	}
	if report.Boot == "" {
		return port.Report{}, missingField("the worker's boot")
	}
	return report, nil
}

func (c *Client) post(ctx context.Context, address, path string, body, answer any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode the body of %s", path)
	}
	return c.do(ctx, http.MethodPost, "http://"+address+path, raw, answer)
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderDataCentre, string(c.DataCentre))
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the platform's response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the platform returned status %d: %.200s", response.StatusCode, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, answer), "decode the platform's response")
}
