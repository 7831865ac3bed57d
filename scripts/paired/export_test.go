package main

// RunDay runs a day with a bench program in dir, for tests.
func RunDay(bench, dir string) error {
	r := dayRun{Dir: dir, Site: "s", Day: "d", Seed: 1}
	return r.run(options{bench: bench})
}
