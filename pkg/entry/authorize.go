package entry

import (
	"errors"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// KeyHeader is the request header that carries the caller's API key. It is required only
// for customers that have keys.
const KeyHeader = "Zinnia-Key"

var errInvalidKey = errors.New("request has no valid API key of the customer in header " + KeyHeader)

// authorize returns nil if the caller of r may act for customer, and otherwise a NotRun
// error with status 401. The key is not passed on to upstreams.
func (in *Instance) authorize(r *http.Request, customer string) error {
	if in.View().Customers[customer].AcceptsKey(r.Header.Get(KeyHeader)) {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusUnauthorized, errInvalidKey)
}
