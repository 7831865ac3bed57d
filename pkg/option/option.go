// Package option provides optional values.
package option

// Of holds a T or nothing. Its zero value holds nothing.
type Of[T any] struct {
	value   T
	present bool
}

// Some returns an Of that holds v.
func Some[T any](v T) Of[T] { return Of[T]{value: v, present: true} }

// Get returns the value, and whether there is one.
func (o Of[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or fallback if there is none.
func (o Of[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
