// Package platf is the client of the platform, that is, of its log service and its
// instance list.
//
// It does not retry. An append whose answer is lost is reported as an error and
// may have taken effect, which the caller finds out by reading the stream. The
// client limits its idle connections and does not follow redirects.
package platf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/oplog"
)

// Streams of the log.
const (
	StreamDocs   = "docs"
	StreamClaims = "claims"
	StreamLeases = "leases"
)

// Error is the class of errors of failed calls to the platform.
var Error = errs.Class("platform")

// maxReplyBytes bounds the body of an answer.
const maxReplyBytes = 64 << 20

// TrimmedError reports that the requested records have been trimmed from the log.
type TrimmedError struct {
	start int64
}

// Start returns the first offset that the log still has.
func (err *TrimmedError) Start() int64 { return err.start }

// Error implements error.
func (err *TrimmedError) Error() string {
	return fmt.Sprintf("the log starts at offset %d", err.start)
}

// Client is a client of one platform.
type Client struct {
	base string
	svc  httpc.Service
}

// New returns a client of the platform at the URL base, such as
// "http://10.0.0.1:7000".
func New(base string) *Client {
	return &Client{base: base, svc: NewService("platform")}
}

// NewService returns an httpc service that sends each request at most once and rejects
// none by itself. httpc's circuit breaker is disabled, because it would reject
// requests by a rule that is neither visible nor counted. Redirects are not
// followed, because 307 and 308 would send the body again.
func NewService(name string) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost:   64,
			MaxIdleConns:          1024,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: 0,
			DisableCompression:    true,

			MaxResponseHeaderBytes: bounds.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})
}

// Append appends records to a stream and returns the offset of the first. After an
// error the records may or may not have been appended.
func (cli *Client) Append(ctx context.Context, stream string, bodies []json.RawMessage) (int64, error) {
	var done wire.Appended
	err := cli.call(ctx, http.MethodPost, "/v1/streams/"+stream+"/records", wire.Append{Bodies: bodies}, &done)
	return done.First, err
}

// Read returns the records of a stream from an offset on, and waits at most wait for
// the first one. It returns a [TrimmedError] if the offset has been trimmed.
func (cli *Client) Read(ctx context.Context, stream string, from int64, wait clock.Milli) (oplog.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var bat oplog.Batch
	err := cli.call(ctx, http.MethodGet, "/v1/streams/"+stream+"/records?"+query.Encode(), nil, &bat)
	return bat, err
}

// List returns the instance list.
func (cli *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var list wire.Instances
	err := cli.call(ctx, http.MethodGet, "/v1/instances", nil, &list)
	return list.Instances, err
}

// Put writes or renews an entry of the instance list.
func (cli *Client) Put(ctx context.Context, inst wire.Instance) error {
	return cli.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(inst.ID), inst, nil)
}

// Remove removes an entry from the instance list.
func (cli *Client) Remove(ctx context.Context, id string) error {
	return cli.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil, nil)
}

func (cli *Client) call(ctx context.Context, method, path string, body, answer any) error {
	res, err := Send(ctx, cli.svc, method, cli.base+path, body)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	return decodeReply(res, answer)
}

// Send sends a request once, with body encoded as JSON, or without a body if it is
// nil.
func Send(ctx context.Context, svc httpc.Service, method, address string, body any) (*http.Response, error) {
	var rdr io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		rdr = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, address, rdr)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend the body.
	req.GetBody = nil
	return svc.DoRequest(req)
}

func decodeReply(res *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if res.StatusCode == http.StatusGone {
		var trm wire.Trimmed
		if json.Unmarshal(text, &trm) == nil && trm.Start > 0 {
			return &TrimmedError{start: trm.Start}
		}
	}
	if res.StatusCode != http.StatusOK {
		return Error.New("status %d: %.200s", res.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(text, answer))
}

// IsTrimmed reports whether err is a [TrimmedError], and returns the first offset
// that the log still has.
func IsTrimmed(err error) (start int64, ok bool) {
	var trm *TrimmedError
	if errors.As(err, &trm) {
		return trm.start, true
	}
	return 0, false
}
