package platformtest

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// instanceChange is a change of the instance list that is visible from visibleAt on.
type instanceChange struct {
	platform.Instance
	visibleAt time.Time
}

// SetInstance records a change of the instance list that becomes visible after lag, as
// in the platform's list.
func (s *Server) SetInstance(addr string, st platform.InstanceState, lag time.Duration) {
	s.mu.Lock()
	s.instances = append(s.instances, instanceChange{platform.Instance{Address: addr, State: st}, time.Now().Add(lag)})
	s.mu.Unlock()
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: want a sequence number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	ch := platform.InstanceChanges{Sequence: since, Instances: []platform.Instance{}}
	now := time.Now()
	for int(ch.Sequence) < len(s.instances) && !s.instances[ch.Sequence].visibleAt.After(now) {
		ch.Instances = append(ch.Instances, s.instances[ch.Sequence].Instance)
		ch.Sequence++
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, ch)
}
