package serve

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"amaranthvalve/internal/wire"
)

// shutdownNever keeps go-zero's signal handler from ending the process: after SIGTERM the handler
// sleeps for this long before it exits.
const shutdownNever = 1000 * time.Hour

// NewRouter builds go-zero's router without its middlewares: each of them can refuse a request (by
// load, breaker, time or size) with a response of its own, and one buffers responses, so that a
// stream's tokens would arrive all at once.
func NewRouter(routes []rest.Route) (http.Handler, error) {
	srv, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "amvnode",
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: shutdownNever, WaitTime: shutdownNever},
		},
		Middlewares: rest.MiddlewaresConf{},
	}, rest.WithNotFoundHandler(http.HandlerFunc(notFound)), rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, err
	}
	srv.AddRoutes(routes)
	serverless, err := rest.NewServerless(srv)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

func notFound(wrt http.ResponseWriter, req *http.Request) {
	wire.WriteJSON(wrt, http.StatusNotFound, wire.ErrorBody{Error: "unknown path: " + req.URL.Path})
}

func notAllowed(wrt http.ResponseWriter, req *http.Request) {
	wire.WriteJSON(wrt, http.StatusMethodNotAllowed, wire.ErrorBody{Error: req.Method + " is not allowed here"})
}
