package settings

import (
	"errors"
	"fmt"
)

// Common holds the settings that all programs have.
type Common struct {
	Listen     string `json:"listen"`      // host:port to serve on
	DataCentre string `json:"data_centre"` // data centre of the process; one of DataCentres
	LogLevel   string `json:"log_level"`   // debug, info, warn or error; default info
}

// Check returns an error for the first invalid field of c.
func (c Common) Check() error {
	if err := CheckAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := CheckDataCentre("data_centre", c.DataCentre); err != nil {
		return err
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("log_level: %q: want debug, info, warn or error", c.LogLevel)
}

// Entry holds the settings of an entry instance. Optional fields that are
// left out get the defaults of entry.Config.
type Entry struct {
	Common
	ID              string   `json:"id"`
	Advertise       string   `json:"advertise"`        // host:port that callers connect to; default listen
	PeerListen      string   `json:"peer_listen"`      // host:port of the protocol between instances; empty for none
	Platform        string   `json:"platform"`         // platform base URL, such as "http://127.0.0.1:7000"
	RefreshInterval Duration `json:"refresh"`          // period of catalogue and membership reads
	LeaseTTL        Duration `json:"lease_ttl"`        // of the instance's membership
	UpstreamTimeout Duration `json:"upstream_timeout"` // of upstream requests without a caller deadline
	RouteTTL        Duration `json:"route_ttl"`        // how long callers may cache a route
	PeerAdvertise   string   `json:"peer_advertise"`   // host:port that other instances connect to; default peer_listen
	PeerKeepAlive   Duration `json:"peer_keep_alive"`
	IdleTimeout     Duration `json:"idle_timeout"`      // time without data after which an engine's stream is given up
	MaxInFlight     int      `json:"max_in_flight"`     // requests, over all entries
	RolloutLeaseTTL Duration `json:"rollout_lease_ttl"` // of the lease for load orders to a pool's engines
	OrderTimeout    Duration `json:"order_timeout"`     // of a load order
	ReportLag       Duration `json:"report_lag"`        // longest delay of load reports
	ShardGroups     int      `json:"shard_groups"`      // groups of a step that one instance runs
	ShardLeaseTTL   Duration `json:"shard_lease_ttl"`   // of the lease of a step's shard
	StepRetention   Duration `json:"step_retention"`    // how long the status of a closed step is kept
	HedgeFactor     float64  `json:"hedge_factor"`      // multiple of the median time; negative: never hedge
	SlowFactor      float64  `json:"slow_from"`         // multiple of the median time; negative: no engine counts as slow
}

// Check returns an error for the first invalid field of e.
func (e Entry) Check() error {
	if err := e.Common.Check(); err != nil {
		return err
	}
	if e.ID == "" {
		return errors.New("id is required")
	}
	if e.Advertise != "" {
		if err := CheckAddress("advertise", e.Advertise); err != nil {
			return err
		}
	}
	if e.PeerListen != "" {
		if err := CheckAddress("peer_listen", e.PeerListen); err != nil {
			return err
		}
	}
	if e.PeerAdvertise != "" {
		if err := CheckAddress("peer_advertise", e.PeerAdvertise); err != nil {
			return err
		}
	}
	if e.Platform == "" {
		return errors.New("platform is required")
	}
	if e.MaxInFlight < 0 {
		return errors.New("max_in_flight must not be negative")
	}
	if e.ShardGroups < 0 {
		return errors.New("shard_groups must not be negative")
	}
	if e.HedgeFactor > 0 && e.HedgeFactor < 1 {
		return errors.New("hedge_factor must be at least 1, negative for never, or 0 for the default")
	}
	if e.SlowFactor > 0 && e.SlowFactor <= 1 {
		return errors.New("slow_from must be more than 1, negative for never, or 0 for the default")
	}
	if e.LeaseTTL != 0 && e.RefreshInterval != 0 && e.LeaseTTL < 2*e.RefreshInterval {
		return errors.New("lease_ttl must be at least twice refresh")
	}
	return nil
}

// Engine holds the settings of the fake engine.
type Engine struct {
	Common
	Name          string   `json:"name"`
	Slots         int      `json:"slots"`
	TokenInterval Duration `json:"token_interval"`
	WeightVersion uint64   `json:"weight_version"`
	ChecksFencing bool     `json:"checks_fencing"`
}

// Check returns an error for the first invalid field of e.
func (e Engine) Check() error {
	if err := e.Common.Check(); err != nil {
		return err
	}
	if e.Slots < 0 {
		return errors.New("slots must not be negative")
	}
	return nil
}

// CommonOnly holds the settings of the fake platform, trainer and plain service, which
// have the common fields only.
type CommonOnly struct {
	Common
}
