package entry

import (
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
)

// Member is an entry instance as seen through its membership lease.
type Member = control.Member

// View is the control state that traffic reads.
type View = control.View

// DeliveryRecord is the record of samples that await their trainer.
type DeliveryRecord = delivery.Record
