// Package option holds values that may be absent.
package option

// Of is a T or nothing, which its zero value is.
type Of[T any] struct {
	value   T
	present bool
}

// Some returns the option that holds v.
func Some[T any](v T) Of[T] { return Of[T]{value: v, present: true} }

// Get returns the value, and whether there is one.
func (o Of[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or otherwise if there is none.
func (o Of[T]) Or(otherwise T) T {
	if o.present {
		return o.value
	}
	return otherwise
}
