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
	renewInterval = time.Second
	renewTimeout  = time.Second
)

// Server serves a test double on an address.
type Server struct {
	lsn net.Listener
	srv *http.Server
}

// Serve serves a handler on an address until [Server.Close].
func Serve(addr string, handler http.Handler) (*Server, error) {
	lsn, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &Server{lsn: lsn, srv: &http.Server{Handler: handler, ReadHeaderTimeout: renewTimeout}}
	go func() { _ = srv.srv.Serve(lsn) }()
	return srv, nil
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() string { return srv.lsn.Addr().String() }

// Close closes the listener and all connections.
func (srv *Server) Close() { _ = srv.srv.Close() }

// Register renews an endpoint's entry in the instance list until the context is done.
func Register(ctx context.Context, platform string, inst wire.Instance) {
	cli := platf.New(platform)
	tkr := time.NewTicker(renewInterval)
	defer tkr.Stop()
	for {
		pctx, cancel := context.WithTimeout(ctx, renewTimeout)
		_ = cli.Put(pctx, inst)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}
