package entry

import (
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
)

// Member is an entry instance as described by its membership lease.
type Member = control.Member

// View is the control state as request handlers see it.
type View = control.View

// DeliveryRecord is the record of samples not yet acknowledged by their trainer.
type DeliveryRecord = delivery.Record
