// Package platf speaks to the platform: the log service and the instance list.
//
// It decides nothing. An append whose answer is lost is reported as an error
// and may have taken effect; the caller settles that by reading its own record
// back. The client bounds its own idle connections and follows no redirects.
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

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/oplog"
)

// The streams of the log.
const (
	StreamDocs   = "docs"
	StreamClaims = "claims"
	StreamLeases = "leases"
)

// Error is the class of errors that say the platform did not answer as asked.
var Error = errs.Class("platform")

// maxAnswer bounds an answer of the log.
const maxAnswer = 64 << 20

// TrimmedError tells that the log has forgotten the records asked for.
type TrimmedError struct {
	start int64
}

// Start gives the oldest offset that the log still has.
func (err *TrimmedError) Start() int64 { return err.start }

// Error tells the place.
func (err *TrimmedError) Error() string {
	return fmt.Sprintf("the log starts at offset %d", err.start)
}

// Client speaks to one platform.
type Client struct {
	base string
	svc  httpc.Service
}

// New returns a client of the platform at base, such as "http://10.0.0.1:7000".
func New(base string) *Client {
	return &Client{base: base, svc: Service("platform")}
}

// Service returns an httpc service that sends each request at most once and
// refuses none by itself. httpc's own breaker would refuse by a rule that
// nobody sees or counts, so it is switched off; redirects 307 and 308 would
// send a body again, so none is followed.
func Service(name string) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost:   64,
			MaxIdleConns:          1024,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: 0,
			DisableCompression:    true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})
}

// Append adds records to a stream and gives the offset of the first. After an
// error they may or may not be there.
func (cli *Client) Append(ctx context.Context, stream string, bodies []json.RawMessage) (int64, error) {
	var done wire.Appended
	err := cli.call(ctx, http.MethodPost, "/v1/streams/"+stream+"/records", wire.Append{Bodies: bodies}, &done)
	return done.First, err
}

// Read gives the records of a stream from an offset, and waits up to wait for
// the first one. A [TrimmedError] tells that the offset was forgotten.
func (cli *Client) Read(ctx context.Context, stream string, from int64, wait clock.Milli) (oplog.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var bat oplog.Batch
	err := cli.call(ctx, http.MethodGet, "/v1/streams/"+stream+"/records?"+query.Encode(), nil, &bat)
	return bat, err
}

// List gives the instance list.
func (cli *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var list wire.Instances
	err := cli.call(ctx, http.MethodGet, "/v1/instances", nil, &list)
	return list.Instances, err
}

// Put writes or renews a line of the instance list.
func (cli *Client) Put(ctx context.Context, inst wire.Instance) error {
	return cli.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(inst.ID), inst, nil)
}

// Remove takes a line out of the instance list.
func (cli *Client) Remove(ctx context.Context, id string) error {
	return cli.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil, nil)
}

func (cli *Client) call(ctx context.Context, method, path string, body, answer any) error {
	res, err := Send(ctx, cli.svc, method, cli.base+path, body)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	return readAnswer(res, answer)
}

// Send sends a request with a JSON body, once; a nil body sends none.
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
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	return svc.DoRequest(req)
}

func readAnswer(res *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
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

// IsTrimmed gives the log's oldest offset if the error says that it has
// forgotten what was asked for.
func IsTrimmed(err error) (start int64, ok bool) {
	var trm *TrimmedError
	if errors.As(err, &trm) {
		return trm.start, true
	}
	return 0, false
}
