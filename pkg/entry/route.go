package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// RouteResponse tells a caller which entry instance to use and until when it
// may keep using it without asking again.
type RouteResponse struct {
	Address    string    `json:"address"`
	ID         string    `json:"id"`
	DataCentre string    `json:"data_centre"`
	ExpiresAt  time.Time `json:"expires_at"`
}

// near returns the members in data centre dc, or all if none is.
func near(members []Member, dc string) []Member {
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

// serveRoute answers GET /v1/route?customer=C&key=K&data_centre=D. The same
// customer and key map to the same live instance while membership holds, by
// rendezvous hashing, so a caller's requests meet the same caches. With a
// data centre, an instance there is named if there is one.
func (in *Instance) serveRoute(w http.ResponseWriter, r *http.Request) {
	customer, key := r.URL.Query().Get("customer"), r.URL.Query().Get("key")
	if customer == "" {
		in.fail(w, verdict.BadRequest("route: customer is required"))
		return
	}
	if !in.View().HasCustomer(customer) {
		in.fail(w, verdict.New(verdict.NotRun, http.StatusNotFound, fmt.Errorf("route: no customer %q in the catalogue", customer)))
		return
	}
	if err := in.authorize(r, customer); err != nil {
		in.fail(w, err)
		return
	}
	members := near(in.View().Routable(), r.URL.Query().Get("data_centre"))
	if len(members) == 0 {
		members = []Member{in.self} // membership not read yet: answer for ourselves
		if in.View().Draining {
			in.fail(w, verdict.Refuse(http.StatusServiceUnavailable, in.comeBackAt(), errNoInstance))
			return
		}
	}
	i := route.Rendezvous(members, func(m Member) string { return m.ID }, customer+"/"+key)
	m := members[i]
	expires := in.cfg.Clock.Now().Add(in.cfg.RouteTTL)
	httpjson.Write(w, http.StatusOK, RouteResponse{Address: m.Address, ID: m.ID, DataCentre: m.DataCentre, ExpiresAt: expires})
}
