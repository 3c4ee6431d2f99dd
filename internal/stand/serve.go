package stand

import (
	"context"
	"net"
	"net/http"
	"time"

	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/wire"
)

const (
	renewEvery = time.Second
	renewWait  = time.Second
)

// Server is a stand-in that listens.
type Server struct {
	lsn net.Listener
	srv *http.Server
}

// Serve serves a handler on an address until Close.
func Serve(addr string, handler http.Handler) (*Server, error) {
	lsn, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &Server{lsn: lsn, srv: &http.Server{Handler: handler, ReadHeaderTimeout: renewWait}}
	go func() { _ = srv.srv.Serve(lsn) }()
	return srv, nil
}

// Addr gives the address that the server listens on.
func (srv *Server) Addr() string { return srv.lsn.Addr().String() }

// Close cuts all connections.
func (srv *Server) Close() { _ = srv.srv.Close() }

// Enlist keeps an endpoint's line in the instance list until the context ends.
func Enlist(ctx context.Context, platform string, inst wire.Instance) {
	cli := platf.New(platform)
	tkr := time.NewTicker(renewEvery)
	defer tkr.Stop()
	for {
		pctx, cancel := context.WithTimeout(ctx, renewWait)
		_ = cli.Put(pctx, inst)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}
