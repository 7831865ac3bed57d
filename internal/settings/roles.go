package settings

import (
	"errors"
	"fmt"
)

// Common holds the fields every program has.
type Common struct {
	Listen     string `json:"listen"`      // host:port to serve on
	DataCentre string `json:"data_centre"` // where this process runs
	LogLevel   string `json:"log_level"`   // debug, info, warn or error; default info
}

// Check reports the first problem with c.
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

// Entry is the settings of an entry instance.
type Entry struct {
	Common
	ID              string   `json:"id"`
	Advertise       string   `json:"advertise"`   // address callers use; default listen
	PeerListen      string   `json:"peer_listen"` // peer protocol; empty for none
	Platform        string   `json:"platform"`    // platform base URL, such as "http://127.0.0.1:7000"
	Refresh         Duration `json:"refresh"`
	LeaseTTL        Duration `json:"lease_ttl"`
	UpstreamTimeout Duration `json:"upstream_timeout"`
	RouteTTL        Duration `json:"route_ttl"`
	PeerAdvertise   string   `json:"peer_advertise"` // address other instances use; default peer_listen
	PeerKeepAlive   Duration `json:"peer_keep_alive"`
	IdleTimeout     Duration `json:"idle_timeout"` // longest silence of an engine's stream
	MaxInFlight     int      `json:"max_in_flight"`
	RolloutLeaseTTL Duration `json:"rollout_lease_ttl"`
	OrderTimeout    Duration `json:"order_timeout"`
	ReportLag       Duration `json:"report_lag"`
	ShardGroups     int      `json:"shard_groups"`
	ShardLeaseTTL   Duration `json:"shard_lease_ttl"`
	StepRetention   Duration `json:"step_retention"`
	HedgeFactor     float64  `json:"hedge_factor"` // times the median; negative: never hedge
	SlowFrom        float64  `json:"slow_from"`    // times the median; negative: no engine is slow
}

// Check reports the first problem with e.
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
	if e.SlowFrom > 0 && e.SlowFrom <= 1 {
		return errors.New("slow_from must be more than 1, negative for never, or 0 for the default")
	}
	if e.LeaseTTL != 0 && e.Refresh != 0 && e.LeaseTTL < 2*e.Refresh {
		return errors.New("lease_ttl must be at least twice refresh")
	}
	return nil
}

// Engine is the settings of the engine stand-in.
type Engine struct {
	Common
	Name          string   `json:"name"`
	Slots         int      `json:"slots"`
	TokenInterval Duration `json:"token_interval"`
	WeightVersion uint64   `json:"weight_version"`
	ChecksFencing bool     `json:"checks_fencing"`
}

// Check reports the first problem with e.
func (e Engine) Check() error {
	if err := e.Common.Check(); err != nil {
		return err
	}
	if e.Slots < 0 {
		return errors.New("slots must not be negative")
	}
	return nil
}

// CommonOnly is the settings of a stand-in with nothing but the common fields:
// the platform, the trainer and the plain service.
type CommonOnly struct {
	Common
}
