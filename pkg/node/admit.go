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

// Errors of requests that are rejected for their target or their caller.
var (
	errNoConfiguration = errors.New("node: no configuration has been read yet")
	errNoRoute         = errors.New("node: no route")
	errNoKey           = errors.New("node: API key missing or unknown")
	errOtherCustomer   = errors.New("node: another customer's submission has this ID")
)

// Route returns the route of a request, or a *verdict.Error.
func (n *Node) Route(host, path string) (routetable.Route, error) {
	t, err := n.tableInForce()
	if err != nil {
		return routetable.Route{}, err
	}
	return n.match(t, host, path)
}

// Admit returns the route of a request and the customer that its API key belongs to.
// The customer is zero on a public route and where no API keys are required. The error
// is a *verdict.Error: with status 404 if there is no route, 401 if no customer has the
// key.
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

// Identify returns the customer that the API key of a call for a submission belongs to,
// or a *verdict.Error. If the host has public routes for submissions, a call without a
// key belongs to no customer, and the customer is zero.
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
		n.observer.logLine(n.observer.failures, true, "no customer has the caller's key", "given", key != "", "configuration", t.Version)
		return c, verdict.New(verdict.NotRun, http.StatusUnauthorized, errNoKey)
	}
	return c, nil
}

// tableInForce returns the configuration in force, or a *verdict.Error if the node is
// not ready.
func (n *Node) tableInForce() (*routetable.Table, error) {
	t := n.table.Load()
	if t == nil || !n.ready.Load() {
		n.observer.count("rejections.no_configuration")
		return nil, verdict.Refuse(http.StatusServiceUnavailable, time.Now().Add(unavailableRetryAfter), errNoConfiguration)
	}
	return t, nil
}

func (n *Node) match(t *routetable.Table, host, path string) (routetable.Route, error) {
	rt, ok := t.Match(host, path)
	if !ok {
		n.observer.count("rejections.no_route")
		n.observer.logLine(n.observer.failures, true, "no route", "host", host, "path", path, "configuration", t.Version)
		return routetable.Route{}, verdict.New(verdict.NotRun, http.StatusNotFound, errNoRoute)
	}
	return rt, nil
}

// priority returns the priority of a customer's requests, if the customer has one.
func (n *Node) priority(name string) option.Of[int] {
	t := n.table.Load()
	if t == nil || name == "" {
		return option.Of[int]{}
	}
	c, _ := t.Customers.FindByName(name)
	return c.Priority
}

// checkCustomer returns nil if head belongs to the customer of s, or a *verdict.Error if
// another customer's submission has the ID.
func checkCustomer(head submission.HeadRow, s submission.Spec) error {
	if !head.BelongsTo(s.Customer) {
		return verdict.New(verdict.NotRun, http.StatusConflict, errOtherCustomer)
	}
	return nil
}
