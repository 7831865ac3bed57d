package entry

import (
	"errors"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// KeyHeader carries a caller's API key, where its customer has keys.
const KeyHeader = "Zinnia-Key"

var errKey = errors.New("no key of the customer in " + KeyHeader)

// authorize returns nil if the caller of r may act for customer, or a NotRun error
// with status 401. The key goes no further than here.
func (in *Instance) authorize(r *http.Request, customer string) error {
	if in.View().Customers[customer].AcceptsKey(r.Header.Get(KeyHeader)) {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusUnauthorized, errKey)
}
