// Package settings loads the settings files of zinnialadder's programs:
// JSON with comments, with unknown fields refused and every field checked
// before a program starts.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &valueError{bytes.Clone(b), fmt.Errorf("want a duration string such as \"2s\": %w", err)}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &valueError{bytes.Clone(b), err}
	}
	if v < 0 {
		return &valueError{bytes.Clone(b), fmt.Errorf("duration %q is negative", s)}
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes d as a duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Checker is a settings value that can check itself.
type Checker interface {
	Check() error
}

// Load reads the file at path into v and checks it.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := Parse(b, v); err != nil {
		var at *LineError
		if errors.As(err, &at) {
			return fmt.Errorf("settings %s:%d: %w", path, at.Line, at.Err)
		}
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// Parse reads JSON with comments from b into v and checks it. Its errors are
// *LineError where the line of the fault is known.
func Parse(b []byte, v Checker) error {
	// hujson needs a line comment to end in a newline, and files do not
	// always end in one.
	std, err := hujson.Standardize(append(bytes.Clone(b), '\n'))
	if err != nil {
		return fmt.Errorf("not JSON with comments: %w", err) // tells line and column
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return at(std, offsetOf(std, dec, err), err)
	}
	if dec.More() {
		return at(std, int(dec.InputOffset()), errors.New("trailing data after the settings object"))
	}
	if err := v.Check(); err != nil {
		return at(std, fieldOf(std, err), err)
	}
	return nil
}

// CheckAddress reports whether addr is a host:port with an IP number, as
// the brief's processes talk by IP.
func CheckAddress(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %q is not host:port: %w", field, addr, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q: host must be an IP number", field, addr)
	}
	if port == "" {
		return fmt.Errorf("%s: %q has no port", field, addr)
	}
	return nil
}

// CheckDataCentre reports whether dc is one of the known data centres.
func CheckDataCentre(field, dc string) error {
	if dc == "" {
		return fmt.Errorf("%s is required", field)
	}
	if _, ok := DataCentres[dc]; !ok {
		return fmt.Errorf("%s: unknown data centre %q", field, dc)
	}
	return nil
}

// DataCentres are the data centres of the brief's deployments, with the
// site each belongs to. "loopback" serves tests and demos on one machine.
var DataCentres = map[string]string{
	"braga-hall": "minho", "guimaraes-hall": "minho", "viana-hall": "minho",
	"ba-hall-a": "rodokmen", "ba-hall-b": "rodokmen", "tt-hall": "rodokmen", "nr-hall": "rodokmen",
	"loopback": "test",
}
