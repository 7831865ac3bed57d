package main

// RootCmd is exported for tests of the names of commands and flags.
var RootCmd = rootCmd
