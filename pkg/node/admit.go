package node

import (
	"errors"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Errors of requests that are turned away for what they ask or who asks.
var (
	errNoConfiguration = errors.New("node: no configuration yet")
	errNoRoute         = errors.New("node: no route")
	errNoKey           = errors.New("node: no key, or one that no customer has")
	errAnothers        = errors.New("node: another customer's submission has this ID")
)

// Route returns the route of a request, or a *verdict.Error.
func (n *Node) Route(host, path string) (routetable.Route, error) {
	t, err := n.tableInForce()
	if err != nil {
		return routetable.Route{}, err
	}
	return n.match(t, host, path)
}

// Admit returns the route of a request and the customer who has its key, nobody on
// a public route and where callers need no keys, or a *verdict.Error: status 404
// without a route, 401 without a key that is in force.
func (n *Node) Admit(host, path, key string) (routetable.Route, customer.Customer, error) {
	t, err := n.tableInForce()
	if err != nil {
		return routetable.Route{}, customer.Customer{}, err
	}
	rt, err := n.match(t, host, path)
	if err != nil || rt.Public {
		return rt, customer.Customer{}, err
	}
	c, err := n.identify(t, key)
	return rt, c, err
}

// Identify returns the customer who has the key of a call for a submission, or a
// *verdict.Error. Where submissions of a host's public routes may be meant, a call
// without a key is nobody's.
func (n *Node) Identify(host, key string) (customer.Customer, error) {
	t, err := n.tableInForce()
	if err != nil {
		return customer.Customer{}, err
	}
	if key == "" && t.HasPublicRoute(host, routetable.Submissions) {
		return customer.Customer{}, nil
	}
	return n.identify(t, key)
}

func (n *Node) identify(t *routetable.Table, key string) (customer.Customer, error) {
	if t.Customers == nil {
		return customer.Customer{}, nil
	}
	c, ok := t.Customers.FindByKey(key)
	if !ok {
		n.observer.count("rejections.no_key")
		n.observer.line(n.observer.failures, true, "no customer has the caller's key", "given", key != "", "configuration", t.Version)
		return c, verdict.New(verdict.NotRun, http.StatusUnauthorized, errNoKey)
	}
	return c, nil
}

// tableInForce returns the configuration in force.
func (n *Node) tableInForce() (*routetable.Table, error) {
	t := n.table.Load()
	if t == nil || !n.ready.Load() {
		n.observer.count("rejections.no_configuration")
		return nil, verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(returnAfter), errNoConfiguration)
	}
	return t, nil
}

func (n *Node) match(t *routetable.Table, host, path string) (routetable.Route, error) {
	rt, ok := t.Match(host, path)
	if !ok {
		n.observer.count("rejections.no_route")
		n.observer.line(n.observer.failures, true, "no route", "host", host, "path", path, "configuration", t.Version)
		return routetable.Route{}, verdict.New(verdict.NotRun, http.StatusNotFound, errNoRoute)
	}
	return rt, nil
}

// priority returns the priority of a customer's work, if it has one of its own.
func (n *Node) priority(name string) option.Of[int] {
	t := n.table.Load()
	if t == nil || name == "" {
		return option.Of[int]{}
	}
	c, _ := t.Customers.FindByName(name)
	return c.Priority
}

// kept returns nil if o is the submission s, or a *verdict.Error if it is another
// customer's that has its ID.
func kept(o submission.HeadRow, s submission.Spec) error {
	if !o.BelongsTo(s.Customer) {
		return verdict.New(verdict.NotRun, http.StatusConflict, errAnothers)
	}
	return nil
}
