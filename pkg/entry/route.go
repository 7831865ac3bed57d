package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// RouteResponse tells a caller which entry instance to use, and until when without asking
// again.
type RouteResponse struct {
	Address    string    `json:"address"`
	ID         string    `json:"id"`
	DataCentre string    `json:"data_centre"`
	ExpiresAt  time.Time `json:"expires_at"`
}

// inDataCentre returns the members in data centre dc, or all members if there is none.
func inDataCentre(members []Member, dc string) []Member {
	var out []Member
	for _, m := range members {
		if m.DataCentre == dc {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}

// serveRoute handles GET /v1/route?customer=C&key=K&data_centre=D. Rendezvous hashing maps
// a customer and key to the same live instance while the membership does not change, so
// that a caller's requests share caches. If data_centre is given, an instance there is
// preferred.
func (in *Instance) serveRoute(w http.ResponseWriter, r *http.Request) {
	customer, key := r.URL.Query().Get("customer"), r.URL.Query().Get("key")
	if customer == "" {
		in.writeError(w, verdict.BadRequest("route: customer is required"))
		return
	}
	if !in.View().HasCustomer(customer) {
		in.writeError(w, verdict.New(verdict.NotRun, http.StatusNotFound, fmt.Errorf("route: customer %q is not in the catalogue", customer)))
		return
	}
	if err := in.authorize(r, customer); err != nil {
		in.writeError(w, err)
		return
	}
	members := inDataCentre(in.View().Routable(), r.URL.Query().Get("data_centre"))
	if len(members) == 0 {
		members = []Member{in.self} // the membership has not been read yet
		if in.View().Draining {
			in.writeError(w, verdict.Refuse(http.StatusServiceUnavailable, in.defaultRetryAt(), errNoInstance))
			return
		}
	}
	i := route.Rendezvous(members, func(m Member) string { return m.ID }, customer+"/"+key)
	m := members[i]
	expires := in.cfg.Clock.Now().Add(in.cfg.RouteTTL)
	httpjson.Write(w, http.StatusOK, RouteResponse{Address: m.Address, ID: m.ID, DataCentre: m.DataCentre, ExpiresAt: expires})
}
