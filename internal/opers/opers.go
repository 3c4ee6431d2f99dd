// Package opers is the client of an instance's operators' interface.
package opers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/wire"
)

const (
	maxReplyBytes     = 16 << 20
	readyPollInterval = 50 * time.Millisecond
)

// Client is a client of one instance.
type Client struct {
	addr string
	svc  httpc.Service
}

// New returns a client of the instance whose ops_addr is addr.
func New(addr string) *Client { return &Client{addr: addr, svc: platf.NewService("ops")} }

// Publish publishes a document of a service and returns the verdict on it.
func (cli *Client) Publish(ctx context.Context, service string, pub wire.Publish) (wire.Published, error) {
	var ans wire.Published
	return ans, cli.call(ctx, http.MethodPost, "/v1/docs/"+url.PathEscape(service), pub, &ans)
}

// PublishReady waits until the instance is ready and then publishes a document.
func (cli *Client) PublishReady(ctx context.Context, service string, pub wire.Publish) (wire.Published, error) {
	for cli.call(ctx, http.MethodGet, "/v1/ready", nil, nil) != nil {
		select {
		case <-ctx.Done():
			return wire.Published{}, fmt.Errorf("the instance at %s is not ready: %w", cli.addr, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return cli.Publish(ctx, service, pub)
}

// Show returns the document of a service that is in force.
func (cli *Client) Show(ctx context.Context, service string) (wire.Document, error) {
	var doc wire.Document
	return doc, cli.call(ctx, http.MethodGet, "/v1/docs/"+url.PathEscape(service), nil, &doc)
}

// History returns the last changes of a service's document.
func (cli *Client) History(ctx context.Context, service string) ([]wire.Change, error) {
	var list []wire.Change
	return list, cli.call(ctx, http.MethodGet, "/v1/docs/"+url.PathEscape(service)+"/history", nil, &list)
}

// Status returns the instance's status.
func (cli *Client) Status(ctx context.Context) (wire.Status, error) {
	var st wire.Status
	return st, cli.call(ctx, http.MethodGet, wire.StatusPath, nil, &st)
}

func (cli *Client) call(ctx context.Context, method, path string, body, answer any) error {
	res, err := platf.Send(ctx, cli.svc, method, "http://"+cli.addr+path, body)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return replyError(res.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(text, answer)
}

func replyError(status int, text []byte) error {
	var fail wire.ErrorBody
	if json.Unmarshal(text, &fail) == nil && fail.Error != "" {
		return fmt.Errorf("%s", fail.Error)
	}
	return fmt.Errorf("status %d: %.200s", status, text)
}
