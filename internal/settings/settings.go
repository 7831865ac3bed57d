// Package settings loads the settings files of zinnialadder's programs. They are JSON
// with comments; unknown fields and invalid values are errors.
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

// Duration is a time.Duration that is not negative and is encoded in JSON as a string
// such as "1.5s".
type Duration time.Duration

// UnmarshalJSON decodes a duration string.
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

// MarshalJSON encodes d as a duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Checker is a settings value that can check its fields.
type Checker interface {
	// Check returns an error for the first invalid field. Parse finds the line of an
	// error that begins with the name of a field in the file.
	Check() error
}

// Load reads the file at path into v and checks it. Its errors give the path and, if it
// is known, the line.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := Parse(b, v); err != nil {
		var le *LineError
		if errors.As(err, &le) {
			return fmt.Errorf("settings %s:%d: %w", path, le.Line, le.Err)
		}
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// Parse decodes b, which is JSON with comments, into v and checks it. Errors are of type
// *LineError if the line is known, except syntax errors, whose text has line and column.
func Parse(b []byte, v Checker) error {
	// hujson requires a newline after a line comment, which the last line of a file
	// may lack.
	std, err := hujson.Standardize(append(bytes.Clone(b), '\n'))
	if err != nil {
		return fmt.Errorf("not JSON with comments: %w", err) // err has line and column
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return withLine(std, errorOffset(std, dec, err), err)
	}
	if dec.More() {
		return withLine(std, int(dec.InputOffset()), errors.New("trailing data after the settings object"))
	}
	if err := v.Check(); err != nil {
		return withLine(std, fieldOffset(std, err), err)
	}
	return nil
}

// CheckAddress returns an error that begins with field unless addr is IP:port. Host names
// are refused because processes connect to each other by IP address.
func CheckAddress(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %q is not host:port: %w", field, addr, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q: host must be an IP address", field, addr)
	}
	if port == "" {
		return fmt.Errorf("%s: %q has no port", field, addr)
	}
	return nil
}

// CheckDataCentre returns an error that begins with field unless dc is one of
// DataCentres.
func CheckDataCentre(field, dc string) error {
	if dc == "" {
		return fmt.Errorf("%s is required", field)
	}
	if _, ok := DataCentres[dc]; !ok {
		return fmt.Errorf("%s: unknown data centre %q", field, dc)
	}
	return nil
}

// DataCentres maps each known data centre to the site that it belongs to. "loopback" is
// for tests and demos on one machine.
var DataCentres = map[string]string{
	"braga-hall": "minho", "guimaraes-hall": "minho", "viana-hall": "minho",
	"ba-hall-a": "rodokmen", "ba-hall-b": "rodokmen", "tt-hall": "rodokmen", "nr-hall": "rodokmen",
	"loopback": "test",
}
