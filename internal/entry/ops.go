package entry

import (
	"net/http"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"golang.org/x/time/rate"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/svcdoc"
)

// warnsPerSecond is the maximum rate of log lines for one reason of refusal.
const warnsPerSecond = 5

func (nod *Node) opsRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/docs/:service", Handler: nod.showDoc},
		{Method: http.MethodGet, Path: "/v1/docs/:service/history", Handler: nod.showHistory},
		{Method: http.MethodPost, Path: "/v1/docs/:service", Handler: nod.publish},
		{Method: http.MethodGet, Path: wire.StatusPath, Handler: nod.showStatus},
		{Method: http.MethodGet, Path: "/v1/entries", Handler: nod.entries},
		{Method: http.MethodGet, Path: "/v1/health", Handler: nod.health},
		{Method: http.MethodGet, Path: "/v1/ready", Handler: nod.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: nod.mtr.Handler().ServeHTTP},
	}
}

func (nod *Node) showDoc(wrt http.ResponseWriter, req *http.Request) {
	service := pathvar.Vars(req)["service"]
	dvr, ok := nod.ctl.View().Doc(service)
	if !ok {
		wire.WriteJSON(wrt, http.StatusNotFound, wire.ErrorBody{Error: "no document names a service " + service})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.Document{Service: service, Revision: dvr.Revision(), Text: dvr.Text()})
}

func (nod *Node) showHistory(wrt http.ResponseWriter, req *http.Request) {
	wire.WriteJSON(wrt, http.StatusOK, nod.ctl.History(req.Context(), pathvar.Vars(req)["service"]))
}

func (nod *Node) publish(wrt http.ResponseWriter, req *http.Request) {
	var pub wire.Publish
	if err := wire.ReadJSON(req.Body, 2*svcdoc.MaxBytes, &pub); err != nil {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: err.Error()})
		return
	}
	if pub.ID == "" || pub.Base < 0 {
		wire.WriteJSON(wrt, http.StatusBadRequest, wire.ErrorBody{Error: "id is required and base must be a revision of at least 0"})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, nod.ctl.Publish(req.Context(), pathvar.Vars(req)["service"], pub))
}

func (nod *Node) showStatus(wrt http.ResponseWriter, req *http.Request) {
	wire.WriteJSON(wrt, http.StatusOK, nod.ctl.Status(req.Context()))
}

// health reports whether the control loop processes events.
func (nod *Node) health(wrt http.ResponseWriter, req *http.Request) {
	if !nod.ctl.Alive(req.Context()) {
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "the control loop does not answer"})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.ErrorBody{})
}

// ready reports whether the instance accepts new requests.
func (nod *Node) ready(wrt http.ResponseWriter, _ *http.Request) {
	ready, why := nod.ctl.View().Ready(nod.clk.Now())
	if nod.ctl.Stopping() {
		ready, why = false, outcm.Stopping.String()
	}
	if !ready {
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: why})
		return
	}
	wire.WriteJSON(wrt, http.StatusOK, wire.ErrorBody{})
}

// limitedWarn returns a warning event for the log, or nil when the rate limit for this
// reason is exceeded: a recurring fault must not flood the log.
func (nod *Node) limitedWarn(rs outcm.Reason) *zerolog.Event {
	lim, _ := nod.warnLimits.LoadOrStore(rs, rate.NewLimiter(warnsPerSecond, warnsPerSecond))
	if !lim.(*rate.Limiter).Allow() {
		return nil
	}
	return nod.log.Warn()
}
