// Package control keeps the control state of an entry instance: it reduces
// events, such as what was read of the platform's table, to a new state and to
// effects, which its caller carries out. It does no I/O and reads no clock.
//
// View is the part of the state that traffic reads.
package control
