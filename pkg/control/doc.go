// Package control is the state machine of an entry instance: it reduces events, such as
// rows read from the platform's table, to a new state and to effects, which its caller
// carries out. It does no I/O and reads no clock.
//
// View is the part of the state that request handlers read.
package control
